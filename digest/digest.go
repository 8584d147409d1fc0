// Package digest encodes and decodes, in CBOR, the lists that the sections of a
// heartbeat between instances carry.
package digest

import "github.com/fxamacker/cbor/v2"

// Entry is an element of a list that can be validated after decoding.
type Entry interface {
	// Validate returns an error if a value is impossible.
	Validate() error
}

// maxNesting limits the nesting depth of decoded values.
const maxNesting = 4

// EncodeWithin returns the encoding of list if it has at most budget bytes.
// Otherwise it halves the list, dropping entries from the end, until the
// encoding fits. It returns nil if not even one entry fits.
func EncodeWithin[E any](list []E, budget int) []byte {
	for len(list) > 0 {
		data, err := cbor.Marshal(list)
		if err == nil && len(data) <= budget {
			return data
		}
		list = list[:len(list)/2]
	}
	return nil
}

// NewDecMode returns the decoding mode for lists of at most n entries. It
// panics if the cbor library rejects n as a limit, which it does for values
// below 16.
func NewDecMode(n int) cbor.DecMode {
	mode, err := cbor.DecOptions{MaxArrayElements: n, MaxNestedLevels: maxNesting}.DecMode()
	if err != nil {
		panic(err) // callers pass constants
	}
	return mode
}

// Decode returns the list encoded in data. It returns an error if mode can't decode
// data or an entry is invalid.
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
