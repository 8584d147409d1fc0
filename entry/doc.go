// Package entry serves callers over HTTP. It authenticates and decodes a request,
// applies the limits, claims the idempotency key and passes the request to the
// dispatcher.
package entry
