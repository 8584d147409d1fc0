package peer

import (
	"crypto/x509"
	"fmt"
	"testing"

	hbs "github.com/hornbeamstage/hornbeamstage"
)

func BenchmarkCheckIdentity(b *testing.B) {
	for _, names := range []int{1, 33} {
		cert := &x509.Certificate{}
		var last hbs.InstanceID
		for i := range names {
			last = hbs.InstanceID(fmt.Sprintf("i-%02d", i))
			cert.URIs = append(cert.URIs, IdentityURI("fleet.example", last))
		}
		b.Run(fmt.Sprintf("names=%d", names), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				if err := checkIdentity(cert, "fleet.example", last); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
