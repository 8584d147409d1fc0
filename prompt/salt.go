// Package prompt cuts prompts into nested levels with salted keys.
package prompt

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"hash"

	"github.com/cespare/xxhash/v2"

	hbs "github.com/hornbeamstage/hornbeamstage"
)

// cacheSaltBytes is the length of a cache salt before it is written in hex.
const cacheSaltBytes = 16

// Salt separates the keys of workspaces, models, adapters and weights
// versions. Prompts cut with different salts share no keys.
type Salt struct {
	Workspace hbs.WorkspaceID
	Model     hbs.ModelName
	Adapter   hbs.AdapterName
	Weights   hbs.WeightsVersion
}

// CacheSalt returns the string that engines get as cache_salt. It is the same
// on all instances and tells nothing of the workspace.
func (s Salt) CacheSalt() string {
	h := sha256.New()
	s.write(h)
	sum := h.Sum(nil)
	return hex.EncodeToString(sum[:cacheSaltBytes])
}

func (s Salt) write(h hash.Hash) {
	for _, field := range [...]string{string(s.Workspace), string(s.Model), string(s.Adapter), string(s.Weights)} {
		var n [4]byte
		binary.LittleEndian.PutUint32(n[:], uint32(len(field)))
		_, _ = h.Write(n[:])
		_, _ = h.Write([]byte(field))
	}
}

func (s Salt) digest(d *xxhash.Digest) {
	d.Reset()
	for _, field := range [...]string{string(s.Workspace), string(s.Model), string(s.Adapter), string(s.Weights)} {
		writeField(d, field)
	}
}

// writeField hashes the length before the text, so that no two lists of fields
// run into the same bytes.
func writeField(d *xxhash.Digest, field string) {
	writeLength(d, len(field))
	_, _ = d.WriteString(field)
}

func writeLength(d *xxhash.Digest, n int) {
	var b [4]byte
	binary.LittleEndian.PutUint32(b[:], uint32(n))
	_, _ = d.Write(b[:])
}
