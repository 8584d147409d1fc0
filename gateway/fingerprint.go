package gateway

import (
	"strconv"

	"github.com/cespare/xxhash/v2"

	hbs "github.com/hornbeamstage/hornbeamstage"
)

// maxWorkspaceID is the longest workspace ID that is kept as it is, in bytes.
const maxWorkspaceID = 64

// fingerprint returns the fingerprint of a request whose other fields are set. The
// workspace stands in front of the hash, so that no caller can make a request with the
// fingerprint of another workspace's.
func fingerprint(q *hbs.Request) hbs.Fingerprint {
	workspace := string(q.Workspace)
	if len(workspace) > maxWorkspaceID {
		workspace = strconv.FormatUint(xxhash.Sum64String(workspace), 16)
	}
	d := xxhash.New()
	for _, field := range []string{string(q.Model), q.Host, q.Method, q.Path} {
		// Writing to a digest never fails. None of the fields contains a zero byte.
		_, _ = d.WriteString(field)
		_, _ = d.WriteString("\x00")
	}
	_, _ = d.Write(q.Body)
	return hbs.Fingerprint(workspace + "/" + strconv.FormatUint(d.Sum64(), 16))
}
