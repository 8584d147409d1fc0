package hornbeamstage

// WorkspaceID identifies a customer of the deployment. Workspaces never share
// idempotency claims or limits. They share cached prefixes only in package gateway,
// and there only if they are not isolated (Request.CacheScope).
type WorkspaceID string

// ModelName is the name of a model as it appears in requests.
type ModelName string

// AdapterName is the name of an adapter (fine-tuned delta) of a model. It is
// empty for the model without an adapter.
type AdapterName string

// WeightsVersion identifies a version of a model's weights.
type WeightsVersion string

// SoftwareVersion identifies a version of the software that an endpoint runs. It is
// compared only for equality.
type SoftwareVersion string

// AnySoftware stands in a Request for all versions that are known. No platform names one so.
const AnySoftware SoftwareVersion = "any known version"

// ServiceName is the name of a plain service, which is not a model engine.
type ServiceName string

// EndpointID identifies a back end: an engine or one replica of a plain service.
type EndpointID string

// Incarnation identifies one run of a process. It changes whenever the process
// restarts, so that state recorded before the restart can be recognized as stale.
type Incarnation string

// InstanceID identifies a router process.
type InstanceID string

// DomainName is the name of a failure domain.
type DomainName string

// RegionName is the name of a region, a group of failure domains with a network
// latency of about a millisecond between them.
type RegionName string

// RequestID identifies a request of a caller. All attempts of the request share
// it.
type RequestID string

// AttemptID identifies one dispatch of a request to one endpoint. Endpoints with
// Capabilities.EchoesAttempt return it in their responses.
type AttemptID string
