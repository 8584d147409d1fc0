package peer

import hbs "github.com/hornbeamstage/hornbeamstage"

// Keys of the knobs.
const (
	KnobInterval    hbs.KnobKey = "peer.heartbeat_interval"
	KnobTimeout     hbs.KnobKey = "peer.silence"
	KnobBudget      hbs.KnobKey = "peer.bytes_per_second"
	KnobFanout      hbs.KnobKey = "peer.fanout"
	KnobPushTimeout hbs.KnobKey = "peer.push_timeout"
)

// Knobs are the knobs of package peer.
var Knobs = []hbs.Knob{
	{Key: KnobInterval, Unit: hbs.UnitDuration, Default: 0.25, Min: 0.05, Max: 10,
		Title: "minimum interval between heartbeats", Text: "Instances of large domains use a longer interval to stay within peer.bytes_per_second."},
	{Key: KnobTimeout, Unit: hbs.UnitDuration, Default: 1, Min: 0.2, Max: 60,
		Title: "time without heartbeats after which an instance is considered dead", Text: "Raise it if instances pause for long. The timeout is at least three of the sender's heartbeat intervals."},
	{Key: KnobBudget, Unit: hbs.UnitBytes, Default: 11264, Min: 2048, Max: 1 << 20,
		Title: "bytes per second that one instance sends and receives as heartbeats and digests", Text: "Updates, cache events and traffic with the platform come on top; the limit for all of it is 16 KiB per second."},
	{Key: KnobFanout, Unit: hbs.UnitCount, Default: 3, Min: 1, Max: 64,
		Title: "number of instances to which one instance forwards an update", Text: "A higher fan-out is faster and costs the sender more bytes at once."},
	{Key: KnobPushTimeout, Unit: hbs.UnitDuration, Default: 0.4, Min: 0.05, Max: 5,
		Title: "time to acknowledge an update before the next instance is tried", Text: "Raise it if peer_tree_adoptions grows although no instance failed."},
}

const (
	meterHeartbeats        = "peer_heartbeats_received"
	meterDigestErrors      = "peer_digest_errors"
	meterUpdatesAdopted    = "peer_updates_adopted"
	meterPulls             = "peer_pulls"
	meterAdoptions         = "peer_tree_adoptions"
	meterBroadcastDropped  = "peer_updates_not_spread"
	meterRelayDropped      = "peer_relay_dropped"
	meterLinkFailures      = "peer_link_failures"
	meterVersionsRefused   = "peer_versions_refused"
	meterIdentitiesRefused = "peer_identities_refused"
	meterKeysUnusable      = "peer_keys_unusable"
	meterAskErrors         = "peer_ask_errors"
	meterAlive             = "peer_instances_alive"
)

// Meters are the metrics of package peer.
var Meters = []hbs.Meter{
	{Name: meterHeartbeats, Kind: hbs.MeterCounter, Unit: hbs.UnitCount, Title: "heartbeats received",
		Action: "If it does not grow, the instance is cut off from all others. It keeps serving; check the network."},
	{Name: meterDigestErrors, Kind: hbs.MeterCounter, Unit: hbs.UnitCount, Title: "digests that could not be decoded",
		Action: "Instances of different builds run together; finish the upgrade."},
	{Name: meterUpdatesAdopted, Kind: hbs.MeterCounter, Unit: hbs.UnitCount, Title: "updates adopted from peers",
		Action: "Grows with changes of configuration, endpoints and instances."},
	{Name: meterPulls, Kind: hbs.MeterCounter, Unit: hbs.UnitCount, Title: "pulls answered by peers",
		Action: "A few after restarts and failures are normal; steady growth means that pushes do not arrive."},
	{Name: meterAdoptions, Kind: hbs.MeterCounter, Unit: hbs.UnitCount, Title: "instances skipped because they did not acknowledge an update",
		Action: "Grows when instances fail. If none failed, raise peer.push_timeout or check the network."},
	{Name: meterBroadcastDropped, Kind: hbs.MeterCounter, Unit: hbs.UnitCount, Title: "pushes not forwarded because the queue was full",
		Action: "Caused by a burst of changes or a slow instance. Instances that missed an update get it later by a pull."},
	{Name: meterRelayDropped, Kind: hbs.MeterCounter, Unit: hbs.UnitCount, Title: "digests between domains dropped because the queue was full",
		Action: "The byte budget is too small for the digests of other domains; raise peer.bytes_per_second."},
	{Name: meterLinkFailures, Kind: hbs.MeterCounter, Unit: hbs.UnitCount, Title: "heartbeat streams that broke or could not be opened",
		Action: "Grows while an instance is down or cut off; hornbeamctl status shows which."},
	{Name: meterVersionsRefused, Kind: hbs.MeterCounter, Unit: hbs.UnitCount, Title: "heartbeat streams that a peer rejected because of the protocol version",
		Action: "Two releases with incompatible protocols run together; upgrade the older instances."},
	{Name: meterIdentitiesRefused, Kind: hbs.MeterCounter, Unit: hbs.UnitCount, Title: "valid certificates rejected because they do not name the instance that uses them",
		Action: "The log shows the address and the names. A few are normal while an instance is replaced by another at the same address; otherwise reissue the certificate, or find out who holds it."},
	{Name: meterKeysUnusable, Kind: hbs.MeterCounter, Unit: hbs.UnitCount, Title: "changed TLS files that could not be used",
		Action: "The instance keeps using the previous keys, but could not start with these files; the log shows the error."},
	{Name: meterAskErrors, Kind: hbs.MeterCounter, Unit: hbs.UnitCount, Title: "requests of other instances that could not be decoded",
		Action: "Instances of different builds run together; finish the upgrade."},
	{Name: meterAlive, Kind: hbs.MeterGauge, Unit: hbs.UnitCount, Title: "live instances that this one receives heartbeats from, itself included",
		Action: "If below the size of the domain, instances are down or cut off."},
}
