package peer

import (
	"crypto/tls"
	"crypto/x509"
	"net"
	"os"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	hbs "github.com/hornbeamstage/hornbeamstage"
)

// TLS loads the keys for mutual authentication between instances. It checks the
// files before each handshake and reloads them if one changed, so new keys need
// no restart. While the files can't be read, or the certificate does not name
// this instance, the previous keys stay in use.
type TLS struct {
	// Instance is this instance's ID, which its certificate must name within
	// TrustDomain (see IdentityURI). Both are required.
	Instance    hbs.InstanceID
	TrustDomain string
	// Certificate and Key are PEM files of this instance, Authority is the one
	// of the CA that issues all instances' certificates.
	Certificate, Key, Authority string

	mu       sync.Mutex
	modTimes [3]time.Time
	loaded   *keyMaterial
	// failure is the error of the last reload, nil if it succeeded.
	failure error
	// OnReload is called with the error when a reload fails in a new way, and with
	// nil when the files are usable again. It may be nil, must not block and must
	// be set before use.
	OnReload func(error)
}

// keyMaterial is the content of the TLS files.
type keyMaterial struct {
	cert  tls.Certificate
	roots *x509.CertPool
}

// Check loads the files, so that startup fails if they are unusable.
func (t *TLS) Check() error {
	_, err := t.current()
	return err
}

// current returns the keys to use, after a reload if a file changed.
func (t *TLS) current() (k *keyMaterial, err error) {
	defer func() { err = errors.Wrap(err, "load TLS files") }()
	t.mu.Lock()
	defer t.mu.Unlock()
	modTimes, err := t.statFiles()
	if err == nil && t.loaded != nil && modTimes == t.modTimes {
		t.setFailure(nil)
		return t.loaded, nil
	}
	if err == nil {
		k, err = t.read()
	}
	if err != nil && t.loaded == nil {
		return nil, err
	}
	t.setFailure(err)
	if err != nil {
		return t.loaded, nil
	}
	t.modTimes, t.loaded = modTimes, k
	return k, nil
}

// setFailure stores failure and reports a change of it to t.OnReload. The caller
// holds t.mu.
func (t *TLS) setFailure(failure error) {
	unchanged := t.failure == nil && failure == nil ||
		t.failure != nil && failure != nil && t.failure.Error() == failure.Error()
	t.failure = failure
	if !unchanged && t.OnReload != nil {
		t.OnReload(failure)
	}
}

// statFiles returns the modification times of the files.
func (t *TLS) statFiles() (modTimes [3]time.Time, err error) {
	for i, file := range []string{t.Certificate, t.Key, t.Authority} {
		info, err := os.Stat(file)
		if err != nil {
			return modTimes, err
		}
		modTimes[i] = info.ModTime()
	}
	return modTimes, nil
}

func (t *TLS) read() (*keyMaterial, error) {
	cert, err := tls.LoadX509KeyPair(t.Certificate, t.Key)
	if err != nil {
		return nil, err
	}
	if err := checkIdentity(cert.Leaf, t.TrustDomain, t.Instance); err != nil {
		return nil, errors.Wrapf(err, "%s", t.Certificate)
	}
	pem, err := os.ReadFile(t.Authority)
	if err != nil {
		return nil, err
	}
	roots := x509.NewCertPool()
	if !roots.AppendCertsFromPEM(pem) {
		return nil, errors.Newf("%s holds no certificate", t.Authority)
	}
	return &keyMaterial{cert, roots}, nil
}

// serverConfig requires a client certificate of the authority. verify returns a
// further check of it for a connection.
func (t *TLS) serverConfig(verify func(net.Conn) func(tls.ConnectionState) error) *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		NextProtos: []string{"h2"},
		GetConfigForClient: func(hello *tls.ClientHelloInfo) (*tls.Config, error) {
			k, err := t.current()
			if err != nil {
				return nil, err
			}
			return &tls.Config{
				MinVersion:       tls.VersionTLS13,
				NextProtos:       []string{"h2"},
				Certificates:     []tls.Certificate{k.cert},
				ClientAuth:       tls.RequireAndVerifyClientCert,
				ClientCAs:        k.roots,
				VerifyConnection: verify(hello.Conn),
			}, nil
		},
	}
}

// clientConfig returns a configuration in which verify replaces all checks of the
// server's certificate.
func (t *TLS) clientConfig(verify func(tls.ConnectionState) error) *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		NextProtos: []string{"h2"},
		// The server is identified by its instance ID rather than its host name, so
		// VerifyConnection checks the chain and the ID.
		InsecureSkipVerify: true,
		VerifyConnection:   verify,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			k, err := t.current()
			if err != nil {
				return nil, err
			}
			return &k.cert, nil
		},
	}
}

// operatorConfig returns the configuration of the operators' listener. If mutual,
// it requires a client certificate of the authority, which need not name an
// instance.
func (t *TLS) operatorConfig(mutual bool) *tls.Config {
	auth := tls.NoClientCert
	if mutual {
		auth = tls.RequireAndVerifyClientCert
	}
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			k, err := t.current()
			if err != nil {
				return nil, err
			}
			return &tls.Config{
				MinVersion:   tls.VersionTLS13,
				NextProtos:   []string{"http/1.1"},
				Certificates: []tls.Certificate{k.cert},
				ClientAuth:   auth,
				ClientCAs:    k.roots,
			}, nil
		},
	}
}

// verifyServerChain verifies the server's certificate chain against the authority.
func (t *TLS) verifyServerChain(state tls.ConnectionState) error {
	k, err := t.current()
	if err != nil {
		return err
	}
	return verifyChain(state, k.roots)
}

func verifyChain(state tls.ConnectionState, roots *x509.CertPool) error {
	intermediates := x509.NewCertPool()
	for _, c := range state.PeerCertificates[1:] {
		intermediates.AddCert(c)
	}
	_, err := state.PeerCertificates[0].Verify(x509.VerifyOptions{Roots: roots, Intermediates: intermediates})
	return errors.Wrap(err, "certificate of the instance")
}

// ClientConfig returns the configuration for a tool that calls the operators'
// listener of an instance. The server's certificate must be issued under roots
// and name one of the expected instances in the trust domain (rule 7), or any
// instance if none is given. clientCert may be nil; if the server then requests a
// certificate, the handshake fails with an error here, because the server's
// rejection would arrive after the handshake and could get lost.
func ClientConfig(roots *x509.CertPool, clientCert *tls.Certificate, trustDomain string, expected ...hbs.InstanceID) *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			if clientCert == nil {
				return nil, errors.New("the instance asks for a certificate, and none is given")
			}
			return clientCert, nil
		},
		// The server is identified by its instance ID rather than its host name, so
		// VerifyConnection checks the chain and the ID.
		InsecureSkipVerify: true,
		VerifyConnection: func(state tls.ConnectionState) error {
			if err := verifyChain(state, roots); err != nil {
				return err
			}
			return checkIdentity(state.PeerCertificates[0], trustDomain, expected...)
		},
	}
}
