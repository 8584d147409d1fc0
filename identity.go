package hornbeamstage

// WorkspaceID names one customer of the deployment. Caches, claims and limits
// of two workspaces never mix.
type WorkspaceID string

// ModelName names a model as callers write it in a request.
type ModelName string

// AdapterName names an adapter (fine-tuned delta) of a model. The empty name
// is the model without an adapter.
type AdapterName string

// WeightsVersion names one version of a model's weights.
type WeightsVersion string

// ServiceName names a plain service beside the engines.
type ServiceName string

// EndpointID names one back end: an engine or one replica of a plain service.
type EndpointID string

// Incarnation names one life of a process. It changes whenever the process
// restarts, so that state believed of an earlier life can be told apart.
type Incarnation string

// InstanceID names one router process.
type InstanceID string

// DomainName names a failure domain.
type DomainName string

// RegionName names a region, a group of failure domains about a millisecond
// apart.
type RegionName string

// RequestID names one request of a caller, whatever its number of attempts.
type RequestID string

// AttemptID names one dispatch of a request to one endpoint. Endpoints echo it.
type AttemptID string
