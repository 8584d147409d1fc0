package peer

import hbs "github.com/hornbeamstage/hornbeamstage"

// The knobs of the exchange between instances.
const (
	KnobInterval    hbs.KnobKey = "peer.heartbeat_interval"
	KnobSilence     hbs.KnobKey = "peer.silence"
	KnobBudget      hbs.KnobKey = "peer.bytes_per_second"
	KnobFanout      hbs.KnobKey = "peer.fanout"
	KnobPushTimeout hbs.KnobKey = "peer.push_timeout"
)

// Knobs documents the knobs of the exchange.
var Knobs = []hbs.Knob{
	{Key: KnobInterval, Unit: hbs.UnitDuration, Default: 0.25, Min: 0.05, Max: 10,
		Title: "shortest time between two heartbeats", Text: "Large domains use a longer one to stay inside peer.bytes_per_second."},
	{Key: KnobSilence, Unit: hbs.UnitDuration, Default: 1, Min: 0.2, Max: 60,
		Title: "silence after which an instance counts as gone", Text: "Raise it when instances pause for long. It is at least three of the sender's intervals."},
	{Key: KnobBudget, Unit: hbs.UnitBytes, Default: 11264, Min: 2048, Max: 1 << 20,
		Title: "bytes a second that one instance sends and receives as heartbeats and digests", Text: "Updates, cache events and the platform come on top; 16 KiB a second is the limit for all."},
	{Key: KnobFanout, Unit: hbs.UnitCount, Default: 3, Min: 1, Max: 64,
		Title: "instances to which one instance passes an update on", Text: "A larger one is faster and costs the sender more bytes at once."},
	{Key: KnobPushTimeout, Unit: hbs.UnitDuration, Default: 0.4, Min: 0.05, Max: 5,
		Title: "time to acknowledge an update before the next instance is tried", Text: "Raise it when adoptions are counted although no instance failed."},
}

const (
	meterHeartbeats    = "peer_heartbeats_received"
	meterDigestErrors  = "peer_digest_errors"
	meterUpdatesPeers  = "peer_updates_adopted"
	meterPulls         = "peer_pulls"
	meterAdoptions     = "peer_tree_adoptions"
	meterSpreadDropped = "peer_updates_not_spread"
	meterRelayDropped  = "peer_relay_dropped"
	meterLinkFailures  = "peer_link_failures"
	meterRefused       = "peer_versions_refused"
	meterIdentities    = "peer_identities_refused"
	meterKeysUnusable  = "peer_keys_unusable"
	meterAskErrors     = "peer_ask_errors"
	meterAlive         = "peer_instances_alive"
)

// Meters documents the metrics of the exchange.
var Meters = []hbs.Meter{
	{Name: meterHeartbeats, Kind: hbs.MeterCounter, Unit: hbs.UnitCount, Title: "heartbeats received",
		Action: "No growth: the instance is cut off from all others. It serves on; look at the network."},
	{Name: meterDigestErrors, Kind: hbs.MeterCounter, Unit: hbs.UnitCount, Title: "digests that were not understood",
		Action: "Instances of different builds run together; finish the upgrade."},
	{Name: meterUpdatesPeers, Kind: hbs.MeterCounter, Unit: hbs.UnitCount, Title: "updates learned from peers",
		Action: "Follows the changes of configuration, endpoints and instances."},
	{Name: meterPulls, Kind: hbs.MeterCounter, Unit: hbs.UnitCount, Title: "pulls answered by peers",
		Action: "A few after restarts and failures; steady growth means that pushes do not arrive."},
	{Name: meterAdoptions, Kind: hbs.MeterCounter, Unit: hbs.UnitCount, Title: "instances passed over because they did not acknowledge an update",
		Action: "Grows when instances fail. If none failed, raise peer.push_timeout or look at the network."},
	{Name: meterSpreadDropped, Kind: hbs.MeterCounter, Unit: hbs.UnitCount, Title: "updates not passed on because the backlog was full",
		Action: "Heartbeats repair it later; a burst of changes or a slow instance is the cause."},
	{Name: meterRelayDropped, Kind: hbs.MeterCounter, Unit: hbs.UnitCount, Title: "digests between domains dropped by a full queue",
		Action: "The byte budget is too small for the digests of other domains; raise peer.bytes_per_second."},
	{Name: meterLinkFailures, Kind: hbs.MeterCounter, Unit: hbs.UnitCount, Title: "heartbeat streams that broke or could not be opened",
		Action: "Grows while an instance is down or cut off; hornbeamctl status tells which."},
	{Name: meterRefused, Kind: hbs.MeterCounter, Unit: hbs.UnitCount, Title: "streams refused because of the protocol version",
		Action: "Two releases run together that can't talk; upgrade the older instances."},
	{Name: meterIdentities, Kind: hbs.MeterCounter, Unit: hbs.UnitCount, Title: "certificates of the authority that do not name the instance that uses them",
		Action: "The log names the address and the names. A few while an instance is replaced at its address; else issue the certificate again, or find out who holds it."},
	{Name: meterKeysUnusable, Kind: hbs.MeterCounter, Unit: hbs.UnitCount, Title: "changed key files that could not be used",
		Action: "The instance goes on with its last good keys and would not start with these; the log tells what is wrong."},
	{Name: meterAskErrors, Kind: hbs.MeterCounter, Unit: hbs.UnitCount, Title: "asks of other instances that were not understood",
		Action: "Instances of different builds run together; finish the upgrade."},
	{Name: meterAlive, Kind: hbs.MeterGauge, Unit: hbs.UnitCount, Title: "live instances this one hears, itself included",
		Action: "Below the domain's size: instances are down or cut off."},
}
