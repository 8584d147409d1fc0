// Package prompt divides prompts into levels, nested prefixes of growing length, and
// gives each a salted key.
package prompt

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"hash"

	"github.com/cespare/xxhash/v2"

	hbs "github.com/hornbeamstage/hornbeamstage"
)

// cacheSaltBytes is the length of a cache salt before hex encoding.
const cacheSaltBytes = 16

// Salt separates the keys of different workspaces, models, adapters and weights
// versions. Prompts cut with different salts share no keys.
type Salt struct {
	Workspace hbs.WorkspaceID
	Model     hbs.ModelName
	Adapter   hbs.AdapterName
	Weights   hbs.WeightsVersion
}

// CacheSalt returns the string that engines receive as cache_salt. It is the same on
// all instances and, as a truncated hash, doesn't reveal the workspace.
func (s Salt) CacheSalt() string {
	h := sha256.New()
	s.writeTo(h)
	sum := h.Sum(nil)
	return hex.EncodeToString(sum[:cacheSaltBytes])
}

// writeTo writes the fields to h, each after its length.
func (s Salt) writeTo(h hash.Hash) {
	for _, field := range [...]string{string(s.Workspace), string(s.Model), string(s.Adapter), string(s.Weights)} {
		var n [4]byte
		binary.LittleEndian.PutUint32(n[:], uint32(len(field)))
		_, _ = h.Write(n[:])
		_, _ = h.Write([]byte(field))
	}
}

// resetDigest resets d and writes the fields to it.
func (s Salt) resetDigest(d *xxhash.Digest) {
	d.Reset()
	for _, field := range [...]string{string(s.Workspace), string(s.Model), string(s.Adapter), string(s.Weights)} {
		writeField(d, field)
	}
}

// writeField writes the length of the field before its text, so that different lists
// of fields never yield the same bytes.
func writeField(d *xxhash.Digest, field string) {
	writeLength(d, len(field))
	_, _ = d.WriteString(field)
}

func writeLength(d *xxhash.Digest, n int) {
	var b [4]byte
	binary.LittleEndian.PutUint32(b[:], uint32(n))
	_, _ = d.Write(b[:])
}
