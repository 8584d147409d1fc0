// Package peer exchanges heartbeats, digests and updates between instances.
//
// Messages are CBOR over gRPC. Mirrored objects are local copies of objects of the
// platform, such as configuration and endpoints; an update is a new version of
// one. A section is the part of the heartbeats that belongs to one component, and
// a digest is the data that it puts there. Rules:
//
//  1. Each instance sends heartbeats to the other instances of its failure
//     domain. A few representatives of a domain, chosen by rendezvous hashing
//     among its live instances, also send heartbeats to the representative of
//     the same rank in each other domain.
//  2. An instance is alive while its heartbeats arrive. It is considered dead
//     after the configured timeout or three of its own heartbeat intervals
//     without one, whichever is longer. Instances do not report others as dead.
//  3. The interval grows with the number of links, so that heartbeats and
//     digests stay within the byte budget whatever the size of the domain.
//  4. An update is pushed down a tree: the sender splits the live instances into
//     groups, sends the update to the first instance of each group and delegates
//     the rest of the group to it. If that instance does not acknowledge, the
//     sender tries the next one of the group, which thereby takes over the
//     children of the failed one (after Hursey et al., "A Log-Scaling Fault
//     Tolerant Agreement Algorithm for a Fault Tolerant MPI", EuroMPI 2011).
//  5. Anti-entropy repairs what the tree misses: some heartbeats carry summaries
//     of the mirrored objects, and an instance that finds that it lacks updates
//     pulls them. The first heartbeat of a stream and every summaryEvery-th after
//     it carry summaries. Others carry them only if they changed; within the
//     domain, only if they changed by a pull, since a push goes to the whole
//     domain anyway.
//  6. Calls of another protocol version are rejected without being processed.
//  7. With TLS, an instance may only act as an instance ID that its certificate
//     names, and callers check the ID of the instance they call in the same way.
//     A certificate that names no instance is rejected in the handshake; a
//     heartbeat whose sender the certificate does not name ends its stream. What
//     an instance reports about other instances is not authenticated.
//  8. An instance may send a request to an instance of any domain and gets the
//     response at once. The components that do so limit their own rate. When the
//     response is lost, the caller can't tell whether the request was handled.
package peer
