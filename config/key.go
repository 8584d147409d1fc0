package config

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"

	"github.com/cockroachdb/errors"

	hbs "github.com/hornbeamstage/hornbeamstage"
)

// KeyHash is the SHA-256 hash of a caller's bearer key. The keys themselves are
// not stored.
type KeyHash [sha256.Size]byte

// HashKey returns the hash of a bearer key.
func HashKey(key string) KeyHash { return sha256.Sum256([]byte(key)) }

// UnmarshalText implements encoding.TextUnmarshaler.
func (h *KeyHash) UnmarshalText(text []byte) error {
	if len(text) != 2*len(h) {
		return errors.Newf("key hash has %d characters, want %d hexadecimal digits", len(text), 2*len(h))
	}
	_, err := hex.Decode(h[:], text)
	return errors.Wrap(err, "key hash")
}

// MarshalText implements encoding.TextMarshaler.
func (h KeyHash) MarshalText() ([]byte, error) {
	return []byte(hex.EncodeToString(h[:])), nil
}

// keyTable maps key hashes to workspaces. A lookup compares all hashes, each in
// constant time, so that its duration does not reveal which one matched.
type keyTable []keyTableEntry

type keyTableEntry struct {
	hash      KeyHash
	workspace hbs.WorkspaceID
}

func newKeyTable(ws []Workspace) keyTable {
	var t keyTable
	for _, w := range ws {
		for _, h := range w.KeyHashes {
			t = append(t, keyTableEntry{h, w.ID})
		}
	}
	return t
}

func (t keyTable) find(key string) (hbs.WorkspaceID, bool) {
	h := HashKey(key)
	found := -1
	for i := range t {
		same := subtle.ConstantTimeCompare(h[:], t[i].hash[:])
		found = subtle.ConstantTimeSelect(same, i, found)
	}
	if found < 0 {
		return "", false
	}
	return t[found].workspace, true
}
