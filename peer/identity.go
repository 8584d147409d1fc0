package peer

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"net"
	"net/netip"
	"net/url"
	"slices"
	"strings"
	"sync"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/peer"
	"google.golang.org/grpc/status"

	hbs "github.com/hornbeamstage/hornbeamstage"
)

const (
	identityScheme = "spiffe"
	identityPath   = "/instance/"
	// maxIdentityFailures bounds the number of stored failures. Beyond it, failures
	// from new addresses are counted but not logged.
	maxIdentityFailures = 1024
)

// IdentityURI returns the URI that a certificate must have among its subject
// alternative names for its holder to act as instance id (rule 7).
func IdentityURI(trustDomain string, id hbs.InstanceID) *url.URL {
	return &url.URL{Scheme: identityScheme, Host: trustDomain, Path: identityPath + string(id)}
}

// identities returns the instances that cert names in the trust domain. Names
// are compared literally: an asterisk is no wildcard, and DNS names, IP addresses
// and the common name are ignored.
func identities(cert *x509.Certificate, trustDomain string) (ids []hbs.InstanceID) {
	for _, uri := range cert.URIs {
		id, found := strings.CutPrefix(uri.Path, identityPath)
		if !found || id == "" {
			continue
		}
		if uri.String() == IdentityURI(trustDomain, hbs.InstanceID(id)).String() {
			ids = append(ids, hbs.InstanceID(id))
		}
	}
	return ids
}

// identityError reports that a valid certificate names none of the instances
// that its holder is expected to be.
type identityError struct {
	named       []hbs.InstanceID
	expected    []hbs.InstanceID
	trustDomain string
}

// Error implements error.
func (e *identityError) Error() string {
	var b strings.Builder
	if len(e.named) == 0 {
		b.WriteString("certificate names no instance")
	} else {
		b.WriteString("certificate names " + join(e.named))
	}
	if len(e.expected) > 0 {
		b.WriteString(", not " + join(e.expected))
	}
	b.WriteString("; a URI such as " + IdentityURI(e.trustDomain, "ID").String() + " has to be among its subject alternative names")
	return b.String()
}

func join(ids []hbs.InstanceID) string {
	texts := make([]string, len(ids))
	for i, id := range ids {
		texts[i] = string(id)
	}
	return strings.Join(texts, " or ")
}

// checkIdentity returns an *identityError unless cert names one of expected, or
// any instance when expected is empty.
func checkIdentity(cert *x509.Certificate, trustDomain string, expected ...hbs.InstanceID) error {
	named := identities(cert, trustDomain)
	for _, id := range named {
		if len(expected) == 0 || slices.Contains(expected, id) {
			return nil
		}
	}
	return &identityError{named, expected, trustDomain}
}

// checkSender returns an error if the certificate of the connection does not
// name id, the instance that the caller claims to be.
func (s *Server) checkSender(ctx context.Context, id hbs.InstanceID) error {
	if s.TLS == nil {
		return nil
	}
	from, ok := peer.FromContext(ctx)
	if !ok {
		return status.Error(codes.Unauthenticated, "connection has no peer information")
	}
	info, ok := from.AuthInfo.(credentials.TLSInfo)
	if !ok || len(info.State.PeerCertificates) == 0 {
		return status.Error(codes.Unauthenticated, "connection has no client certificate")
	}
	err := checkIdentity(info.State.PeerCertificates[0], s.TLS.TrustDomain, id)
	s.identityFailures.record(s, host(from.Addr)+" as "+string(id), err)
	if err != nil {
		return status.Error(codes.PermissionDenied, err.Error())
	}
	return nil
}

// verifyClient returns a check of the client's certificate for the handshake of
// conn. The certificate must name some instance; which one the client acts as is
// checked per call and heartbeat by checkSender.
func (s *Server) verifyClient(conn net.Conn) func(tls.ConnectionState) error {
	return func(state tls.ConnectionState) error {
		err := checkIdentity(state.PeerCertificates[0], s.TLS.TrustDomain)
		s.identityFailures.record(s, host(conn.RemoteAddr()), err)
		return err
	}
}

// verifyServer returns a check of the server's certificate for a handshake with
// the instance at addr. The certificate must name one of the instances known at
// that address, or any instance if none is known, as for a new seed.
func (s *Server) verifyServer(addr netip.AddrPort) func(tls.ConnectionState) error {
	return func(state tls.ConnectionState) error {
		err := s.TLS.verifyServerChain(state)
		if err == nil {
			err = checkIdentity(state.PeerCertificates[0], s.TLS.TrustDomain, s.members.idsAt(addr)...)
		}
		s.identityFailures.record(s, addr.String(), err)
		return err
	}
}

func host(addr net.Addr) string {
	name, _, err := net.SplitHostPort(addr.String())
	if err != nil {
		return addr.String()
	}
	return name
}

// identityFailures stores the last identity error of each address, so that only
// changes are logged. The key of a client is its host, with the claimed instance
// ID if it sent one, since its port changes; the key of a server is host and port.
type identityFailures struct {
	mu     sync.Mutex
	byAddr map[string]string
}

// record counts an *identityError and logs it if it is new for addr. A nil error
// clears the failure of addr and logs that. Other errors are ignored.
func (x *identityFailures) record(s *Server, addr string, err error) {
	var mismatch *identityError
	if err != nil && !errors.As(err, &mismatch) {
		return
	}
	if mismatch != nil {
		s.counter(meterIdentitiesRefused).Inc(1)
	}
	if !x.update(addr, mismatch) {
		return
	}
	if mismatch == nil {
		s.Log.Info("peer's certificate names it again", zap.String("address", addr))
		return
	}
	s.Log.Warn("peer's certificate does not name it", zap.String("address", addr), zap.Error(mismatch))
}

// update stores the failure of addr and reports whether it changed.
func (x *identityFailures) update(addr string, mismatch *identityError) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	old, known := x.byAddr[addr]
	if mismatch == nil {
		delete(x.byAddr, addr)
		return known
	}
	if old == mismatch.Error() || !known && len(x.byAddr) >= maxIdentityFailures {
		return false
	}
	x.byAddr[addr] = mismatch.Error()
	return true
}
