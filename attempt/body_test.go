package attempt

import (
	"bytes"
	"encoding/json"
	"strings"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestAttempt(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "attempt")
}

var own = ownFields{CacheSalt: "salt"}

var _ = DescribeTable("engineBody",
	func(in string, stream bool, want string, usage bool) {
		out, got, err := engineBody([]byte(in), own, stream)
		Expect(err).NotTo(HaveOccurred())
		Expect(string(out)).To(Equal(want))
		Expect(got).To(Equal(usage))
	},
	Entry("keeps numbers, unknown fields and their order", `{"z":1.0e2, "a" : 12345678901234567890,"t":"<&\u00e9"}`, false,
		`{"cache_salt":"salt","z":1.0e2,"a" : 12345678901234567890,"t":"<&\u00e9"}`, false),
	Entry("an empty object", ` { } `, false, `{"cache_salt":"salt"}`, false),
	Entry("drops a caller's salt", `{"cache_salt":"theirs","a":1}`, false, `{"cache_salt":"salt","a":1}`, false),
	Entry("in any spelling", `{"Cache_Salt":"x","cache\u005fsalt":"y","a":1,"PRIORITY":-5}`, false, `{"cache_salt":"salt","a":1}`, false),
	Entry("nested names stay", `{"a":{"cache_salt":"x"}}`, false, `{"cache_salt":"salt","a":{"cache_salt":"x"}}`, false),
	Entry("asks for usage", `{"stream":true}`, true, `{"cache_salt":"salt","stream_options":{"include_usage":true},"stream":true}`, false),
	Entry("keeps stream options", `{"stream_options":{"x":1}}`, true, `{"cache_salt":"salt","stream_options":{"include_usage":true,"x":1}}`, false),
	Entry("takes null for no stream options", `{"stream_options":null}`, true, `{"cache_salt":"salt","stream_options":{"include_usage":true}}`, false),
	Entry("escaped quotes and brackets in strings", `{"a":"\\\"}{\\","b":["]",{"c":"}"}],"priority":1}`, false, `{"cache_salt":"salt","a":"\\\"}{\\","b":["]",{"c":"}"}]}`, false),
	Entry("notes that the caller asked", `{"stream_options":{"include_usage":true}}`, true, `{"cache_salt":"salt","stream_options":{"include_usage":true}}`, true),
)

func FuzzEngineBody(f *testing.F) {
	f.Add([]byte(`{"a":[1,{"b":"\""}],"cache_salt":null}`))
	f.Fuzz(func(t *testing.T, in []byte) {
		out, _, err := engineBody(in, own, true)
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
			if !owned(name) && !strings.EqualFold(name, "stream_options") && !bytes.Equal(value, members[name]) {
				t.Fatalf("%q changed from %s to %s", name, value, members[name])
			}
		}
		for name, value := range members {
			if strings.EqualFold(name, "cache_salt") && (name != "cache_salt" || string(value) != `"salt"`) {
				t.Fatalf("salt of the caller in %s", out)
			}
		}
	})
}

// BenchmarkEngineBody edits a body of 100 KB.
func BenchmarkEngineBody(b *testing.B) {
	text, _ := json.Marshal(strings.Repeat("a long supplier specification sheet. ", 2700))
	body := []byte(`{"model":"m","stream":true,"messages":[{"role":"user","content":` + string(text) + `}]}`)
	b.SetBytes(int64(len(body)))
	b.ReportAllocs()
	for b.Loop() {
		if out, _, err := engineBody(body, own, true); err != nil || !bytes.HasSuffix(out, []byte("}")) {
			b.Fatal(err)
		}
	}
}
