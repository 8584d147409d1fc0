// Package bed runs one case of an independent review: it starts instances of
// hornbeamstage as processes beside stand-ins for the platform's store, for endpoints
// and for callers, on loopback addresses, and judges a rule by what the stand-ins saw.
//
// It is a test program: go test -c builds it, and without the name of a case it runs
// nothing. It is not part of the product.
package bed
