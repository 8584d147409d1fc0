// Package hornbeamstage defines the domain types and interfaces shared by the
// packages of the router.
//
// The router forwards requests from callers to endpoints, which are model
// engines and plain services. Behaviour with more than one implementation is
// declared here as an interface and implemented in the subpackages. Nothing in
// this package does I/O or starts a goroutine.
package hornbeamstage
