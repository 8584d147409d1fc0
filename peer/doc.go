// Package peer exchanges heartbeats, digests and updates between instances.
//
// The messages are CBOR over gRPC. Rules:
//
//  1. Each instance sends heartbeats to the other instances of its domain. A
//     few representatives of a domain, chosen by rendezvous hashing among the
//     live instances, also send theirs to representatives of other domains, each
//     to the one of its own rank.
//  2. An instance is alive while its heartbeats come. Silence for the longer of
//     the configured time and three of the sender's intervals ends that. No
//     instance is told to be dead by another.
//  3. The interval grows with the number of links, so that heartbeats and
//     digests stay inside the byte budget whatever the size of the domain.
//  4. An update of a mirrored object travels down a tree: the sender splits the
//     live instances into groups, sends to the first of each group and leaves
//     the rest of the group to it. When the first does not acknowledge, the
//     sender goes on with the next of the group, which so takes over the
//     children of the failed one (after Hursey et al., "A Log-Scaling Fault
//     Tolerant Agreement Algorithm for a Fault Tolerant MPI", EuroMPI 2011).
//  5. What the tree misses is found by heartbeats: some carry summaries of the
//     mirrored objects, and who sees that it lacks something asks for it. The
//     first of a stream and every summaryEvery-th does; the others do when a
//     summary changed, but in the domain only after a pull, since a push went to
//     all of it.
//  6. A message of another protocol version is refused, and nothing of it is
//     used.
//  7. With keys, an instance may only speak as an instance that its certificate
//     names, and is only spoken to as one. A certificate that names none is
//     refused in the handshake; a heartbeat of another than those named ends
//     its stream. What an instance tells of others is not proved by this.
//  8. An instance may ask another of any domain and get an answer at once. Parts
//     that use it bound how often; a lost answer does not tell whether the other
//     side answered.
package peer
