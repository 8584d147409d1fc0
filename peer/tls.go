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

// TLS holds the keys for mutual authentication between instances. The files
// are looked at before each handshake and read again when one of them changed,
// so new keys need no restart. While they can't be read, or the certificate
// does not name this instance, the last good keys stay in use.
type TLS struct {
	// Instance is this instance's id, which its certificate has to name in
	// TrustDomain (IdentityURI). Neither is empty.
	Instance    hbs.InstanceID
	TrustDomain string
	// Certificate and Key are this instance's, Authority that of all
	// instances; PEM files.
	Certificate, Key, Authority string

	mu     sync.Mutex
	stamp  [3]time.Time
	loaded *keys
	// failure is why the files in place are not in use; nil when they are.
	failure error
	// Failed is told each new failure of a reload, and nil at its end. It may
	// be nil, must not block and is set before use.
	Failed func(error)
}

type keys struct {
	cert  tls.Certificate
	roots *x509.CertPool
}

// Check reads the files once, so that a start with unusable keys fails.
func (t *TLS) Check() error {
	_, err := t.keys()
	return err
}

func (t *TLS) keys() (k *keys, err error) {
	defer func() { err = errors.Wrap(err, "keys between instances") }()
	t.mu.Lock()
	defer t.mu.Unlock()
	stamp, err := t.stamps()
	if err == nil && t.loaded != nil && stamp == t.stamp {
		t.note(nil)
		return t.loaded, nil
	}
	if err == nil {
		k, err = t.read()
	}
	if err != nil && t.loaded == nil {
		return nil, err
	}
	t.note(err)
	if err != nil {
		return t.loaded, nil
	}
	t.stamp, t.loaded = stamp, k
	return k, nil
}

// note tells a change of failure. It is called with mu held.
func (t *TLS) note(failure error) {
	same := t.failure == nil && failure == nil ||
		t.failure != nil && failure != nil && t.failure.Error() == failure.Error()
	t.failure = failure
	if !same && t.Failed != nil {
		t.Failed(failure)
	}
}

func (t *TLS) stamps() (stamp [3]time.Time, err error) {
	for i, file := range []string{t.Certificate, t.Key, t.Authority} {
		info, err := os.Stat(file)
		if err != nil {
			return stamp, err
		}
		stamp[i] = info.ModTime()
	}
	return stamp, nil
}

func (t *TLS) read() (*keys, error) {
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
	return &keys{cert, roots}, nil
}

// serverConfig asks every caller for a certificate of the authority, which
// accept checks further.
func (t *TLS) serverConfig(accept func(net.Conn) func(tls.ConnectionState) error) *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		NextProtos: []string{"h2"},
		GetConfigForClient: func(hello *tls.ClientHelloInfo) (*tls.Config, error) {
			k, err := t.keys()
			if err != nil {
				return nil, err
			}
			return &tls.Config{
				MinVersion:       tls.VersionTLS13,
				NextProtos:       []string{"h2"},
				Certificates:     []tls.Certificate{k.cert},
				ClientAuth:       tls.RequireAndVerifyClientCert,
				ClientCAs:        k.roots,
				VerifyConnection: accept(hello.Conn),
			}, nil
		},
	}
}

// clientConfig leaves the check of the called instance's certificate to expect.
func (t *TLS) clientConfig(expect func(tls.ConnectionState) error) *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		NextProtos: []string{"h2"},
		// VerifyConnection verifies the chain and, in place of the host's name,
		// the instance.
		InsecureSkipVerify: true,
		VerifyConnection:   expect,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			k, err := t.keys()
			if err != nil {
				return nil, err
			}
			return &k.cert, nil
		},
	}
}

// operatorConfig shows this instance's certificate and, when mutual, asks every
// caller for one of the authority. It need not name an instance.
func (t *TLS) operatorConfig(mutual bool) *tls.Config {
	auth := tls.NoClientCert
	if mutual {
		auth = tls.RequireAndVerifyClientCert
	}
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			k, err := t.keys()
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

// verify checks the chain of the called instance's certificate.
func (t *TLS) verify(state tls.ConnectionState) error {
	k, err := t.keys()
	if err != nil {
		return err
	}
	return verifyChain(state, k.roots)
}

func verifyChain(state tls.ConnectionState, roots *x509.CertPool) error {
	between := x509.NewCertPool()
	for _, c := range state.PeerCertificates[1:] {
		between.AddCert(c)
	}
	_, err := state.PeerCertificates[0].Verify(x509.VerifyOptions{Roots: roots, Intermediates: between})
	return errors.Wrap(err, "certificate of the instance")
}

// ClientConfig is for a tool that calls an instance's operators' listener: the
// instance's certificate has to be of roots and to name one of wanted in the
// trust domain (rule 7), or any instance when none is wanted. The caller's own
// certificate may be nil; an instance that asks for one is not called then, for
// its refusal would come after the handshake and could get lost.
func ClientConfig(roots *x509.CertPool, own *tls.Certificate, trustDomain string, wanted ...hbs.InstanceID) *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			if own == nil {
				return nil, errors.New("the instance asks for a certificate, and none is given")
			}
			return own, nil
		},
		// VerifyConnection verifies the chain and, in place of the host's name,
		// the instance.
		InsecureSkipVerify: true,
		VerifyConnection: func(state tls.ConnectionState) error {
			if err := verifyChain(state, roots); err != nil {
				return err
			}
			return checkIdentity(state.PeerCertificates[0], trustDomain, wanted...)
		},
	}
}
