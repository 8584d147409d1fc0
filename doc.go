// Package hornbeamstage holds the domain types and the interfaces that the
// parts of the router share.
//
// The router stands between callers and endpoints (model engines and plain
// services). Behaviour that varies is an interface here with its
// implementations in the packages below. Nothing in this package does I/O or
// starts a goroutine.
package hornbeamstage
