package attempt

import (
	"bytes"
	"encoding/json"
	"strings"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// suite is the test that runs the specs; synctest bubbles need it.
var suite *testing.T

func TestAttempt(t *testing.T) {
	suite = t
	RegisterFailHandler(Fail)
	RunSpecs(t, "attempt")
}

var fields = routerFields{CacheSalt: "salt"}

var _ = DescribeTable("engineBody",
	func(in string, stream bool, want string, usage bool) {
		out, got, err := engineBody([]byte(in), fields, stream)
		Expect(err).NotTo(HaveOccurred())
		Expect(string(out)).To(Equal(want))
		Expect(got).To(Equal(usage))
	},
	Entry("preserves number formats, unknown fields and their order", `{"z":1.0e2, "a" : 12345678901234567890,"t":"<&\u00e9"}`, false,
		`{"cache_salt":"salt","z":1.0e2,"a" : 12345678901234567890,"t":"<&\u00e9"}`, false),
	Entry("accepts an empty object", ` { } `, false, `{"cache_salt":"salt"}`, false),
	Entry("removes a cache salt set by the caller", `{"cache_salt":"theirs","a":1}`, false, `{"cache_salt":"salt","a":1}`, false),
	Entry("removes router fields in any letter case or escaping", `{"Cache_Salt":"x","cache\u005fsalt":"y","a":1,"PRIORITY":-5}`, false, `{"cache_salt":"salt","a":1}`, false),
	Entry("keeps nested fields with a router field's name", `{"a":{"cache_salt":"x"}}`, false, `{"cache_salt":"salt","a":{"cache_salt":"x"}}`, false),
	Entry("requests usage for a stream", `{"stream":true}`, true, `{"cache_salt":"salt","stream_options":{"include_usage":true},"stream":true}`, false),
	Entry("preserves other stream options", `{"stream_options":{"x":1}}`, true, `{"cache_salt":"salt","stream_options":{"include_usage":true,"x":1}}`, false),
	Entry("treats null stream options as absent", `{"stream_options":null}`, true, `{"cache_salt":"salt","stream_options":{"include_usage":true}}`, false),
	Entry("skips escaped quotes and brackets in strings", `{"a":"\\\"}{\\","b":["]",{"c":"}"}],"priority":1}`, false, `{"cache_salt":"salt","a":"\\\"}{\\","b":["]",{"c":"}"}]}`, false),
	Entry("reports that the caller requested usage", `{"stream_options":{"include_usage":true}}`, true, `{"cache_salt":"salt","stream_options":{"include_usage":true}}`, true),
)

// FuzzEngineBody checks that only router fields change and that a caller can't set
// the cache salt.
func FuzzEngineBody(f *testing.F) {
	f.Add([]byte(`{"a":[1,{"b":"\""}],"cache_salt":null}`))
	f.Fuzz(func(t *testing.T, in []byte) {
		out, _, err := engineBody(in, fields, true)
		if err != nil || !json.Valid(in) {
			return
		}
		var members map[string]json.RawMessage
		if err := json.Unmarshal(out, &members); err != nil {
			t.Fatalf("%s: %v", out, err)
		}
		var before map[string]json.RawMessage
		_ = json.Unmarshal(in, &before)
		for name, value := range before {
			if !isRouterField(name) && !strings.EqualFold(name, "stream_options") && !bytes.Equal(value, members[name]) {
				t.Fatalf("%q changed from %s to %s", name, value, members[name])
			}
		}
		for name, value := range members {
			if strings.EqualFold(name, "cache_salt") && (name != "cache_salt" || string(value) != `"salt"`) {
				t.Fatalf("the caller's cache salt is in %s", out)
			}
		}
	})
}

// BenchmarkEngineBody rewrites a body of 100 KB.
func BenchmarkEngineBody(b *testing.B) {
	text, _ := json.Marshal(strings.Repeat("a long supplier specification sheet. ", 2700))
	body := []byte(`{"model":"m","stream":true,"messages":[{"role":"user","content":` + string(text) + `}]}`)
	b.SetBytes(int64(len(body)))
	b.ReportAllocs()
	for b.Loop() {
		if out, _, err := engineBody(body, fields, true); err != nil || !bytes.HasSuffix(out, []byte("}")) {
			b.Fatal(err)
		}
	}
}
