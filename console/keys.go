package console

import (
	"crypto/tls"
	"crypto/x509"
	"os"

	hbs "github.com/hornbeamstage/hornbeamstage"
	"github.com/hornbeamstage/hornbeamstage/network"
	"github.com/hornbeamstage/hornbeamstage/peer"
)

// tlsOptions are the options for querying instances over TLS. Without an authority
// they are queried over plain HTTP.
type tlsOptions struct {
	Authority   string `long:"authority" value-name:"FILE" env:"HORNBEAMSTAGE_AUTHORITY" description:"CA certificates of the instances, PEM; if given, instances are queried over TLS"`
	TrustDomain string `long:"trust-domain" value-name:"NAME" default:"hornbeamstage" env:"HORNBEAMSTAGE_TRUST_DOMAIN" description:"tls.trust_domain of the instances"`
	Certificate string `long:"certificate" value-name:"FILE" env:"HORNBEAMSTAGE_CERTIFICATE" description:"client certificate, PEM; needed if tls.operators of the instances is mutual"`
	Key         string `long:"key" value-name:"FILE" env:"HORNBEAMSTAGE_KEY" description:"the certificate's key, PEM"`
}

// tlsCredentials are the contents of the files that tlsOptions names.
type tlsCredentials struct {
	trustDomain string
	// roots is nil for plain HTTP.
	roots *x509.CertPool
	// certificate is the client certificate, or nil if none is given.
	certificate *tls.Certificate
}

// load reads the files. An incomplete set of options or an unreadable file is a
// usage error.
func (o *tlsOptions) load() (k tlsCredentials, err error) {
	k.trustDomain = o.TrustDomain
	if (o.Certificate == "") != (o.Key == "") || o.Authority == "" && o.Certificate != "" {
		return tlsCredentials{}, exitErrorf(ExitUsage, "--certificate needs --key and --authority")
	}
	if o.Authority == "" {
		return k, nil
	}
	pem, err := os.ReadFile(o.Authority)
	if err != nil {
		return tlsCredentials{}, exitErrorf(ExitUsage, "--authority: %v", err)
	}
	k.roots = x509.NewCertPool()
	if !k.roots.AppendCertsFromPEM(pem) {
		return tlsCredentials{}, exitErrorf(ExitUsage, "--authority: %s contains no certificate", o.Authority)
	}
	if o.Certificate == "" {
		return k, nil
	}
	cert, err := tls.LoadX509KeyPair(o.Certificate, o.Key)
	if err != nil {
		return tlsCredentials{}, exitErrorf(ExitUsage, "--certificate: %v", err)
	}
	k.certificate = &cert
	return k, nil
}

// transport returns an HTTP transport for instance i and the scheme of its URLs.
// Over TLS the certificate must name i, except where i was given by address: its
// ID is unknown, so any instance of the trust domain is accepted.
func (k *tlsCredentials) transport(n hbs.Network, i hbs.Instance) (t *network.Transport, scheme string) {
	t = network.NewTransport(n)
	if k.roots == nil {
		return t, "http"
	}
	var ids []hbs.InstanceID
	if string(i.ID) != i.OperatorAddress.String() {
		ids = append(ids, i.ID)
	}
	t.TLSClientConfig = peer.ClientConfig(k.roots, k.certificate, k.trustDomain, ids...)
	return t, "https"
}
