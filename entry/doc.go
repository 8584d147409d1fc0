// Package entry serves callers over HTTP: it authenticates, decodes, limits
// and claims, and hands the request to the dispatcher.
package entry
