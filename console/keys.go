package console

import (
	"crypto/tls"
	"crypto/x509"
	"net/http"
	"os"

	hbs "github.com/hornbeamstage/hornbeamstage"
	"github.com/hornbeamstage/hornbeamstage/network"
	"github.com/hornbeamstage/hornbeamstage/peer"
)

// keyOptions are how instances are asked over TLS. Without an authority they are
// asked in plain text.
type keyOptions struct {
	Authority   string `long:"authority" value-name:"FILE" env:"HORNBEAMSTAGE_AUTHORITY" description:"authority of the instances' certificates, PEM; instances are then asked over TLS"`
	TrustDomain string `long:"trust-domain" value-name:"NAME" default:"hornbeamstage" env:"HORNBEAMSTAGE_TRUST_DOMAIN" description:"tls.trust_domain of the instances"`
	Certificate string `long:"certificate" value-name:"FILE" env:"HORNBEAMSTAGE_CERTIFICATE" description:"your certificate, PEM, where tls.operators is mutual"`
	Key         string `long:"key" value-name:"FILE" env:"HORNBEAMSTAGE_KEY" description:"the certificate's key, PEM"`
}

// keys are what the files of keyOptions hold.
type keys struct {
	trustDomain string
	// roots is nil for plain text.
	roots *x509.CertPool
	// own is nil when no certificate is given.
	own *tls.Certificate
}

func (o *keyOptions) read() (k keys, err error) {
	k.trustDomain = o.TrustDomain
	if (o.Certificate == "") != (o.Key == "") || o.Authority == "" && o.Certificate != "" {
		return keys{}, failed(ExitUsage, "--certificate needs --key and --authority")
	}
	if o.Authority == "" {
		return k, nil
	}
	pem, err := os.ReadFile(o.Authority)
	if err != nil {
		return keys{}, failed(ExitUsage, "--authority: %v", err)
	}
	k.roots = x509.NewCertPool()
	if !k.roots.AppendCertsFromPEM(pem) {
		return keys{}, failed(ExitUsage, "--authority: %s holds no certificate", o.Authority)
	}
	if o.Certificate == "" {
		return k, nil
	}
	cert, err := tls.LoadX509KeyPair(o.Certificate, o.Key)
	if err != nil {
		return keys{}, failed(ExitUsage, "--certificate: %v", err)
	}
	k.own = &cert
	return k, nil
}

// transport returns the way to instance i and the scheme of its URLs. An instance
// that was named by address may be any.
func (k *keys) transport(n hbs.Network, i hbs.Instance) (t *http.Transport, scheme string) {
	t = network.Transport(n)
	if k.roots == nil {
		return t, "http"
	}
	var wanted []hbs.InstanceID
	if string(i.ID) != i.OperatorAddress.String() {
		wanted = append(wanted, i.ID)
	}
	t.TLSClientConfig = peer.ClientConfig(k.roots, k.own, k.trustDomain, wanted...)
	return t, "https"
}
