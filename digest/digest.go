// Package digest encodes and decodes the lists that sections of heartbeats
// carry, in CBOR.
package digest

import "github.com/fxamacker/cbor/v2"

// Entry is an element of a list that checks itself.
type Entry interface {
	// Validate reports the first value that makes no sense.
	Validate() error
}

// maxNesting bounds how deep decoded values are nested.
const maxNesting = 4

// Fit returns the encoding of list, or of the longest of its halves, quarters
// and so on from the front that has at most budget bytes; nil where none has.
func Fit[E any](list []E, budget int) []byte {
	for len(list) > 0 {
		data, err := cbor.Marshal(list)
		if err == nil && len(data) <= budget {
			return data
		}
		list = list[:len(list)/2]
	}
	return nil
}

// Mode returns what decodes lists of at most n entries. It panics where n is
// below 16 or otherwise not one that the library takes.
func Mode(n int) cbor.DecMode {
	mode, err := cbor.DecOptions{MaxArrayElements: n, MaxNestedLevels: maxNesting}.DecMode()
	if err != nil {
		panic(err) // callers give constants
	}
	return mode
}

// Decode returns the list in data. The error is that of mode, or of the first
// entry that makes no sense.
func Decode[E Entry](mode cbor.DecMode, data []byte) (list []E, err error) {
	if err := mode.Unmarshal(data, &list); err != nil {
		return nil, err
	}
	for _, e := range list {
		if err := e.Validate(); err != nil {
			return nil, err
		}
	}
	return list, nil
}
