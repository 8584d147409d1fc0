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
	// maxSuspects bounds the addresses whose refusal is remembered; beyond it
	// refusals are counted but not logged.
	maxSuspects = 1024
)

// IdentityURI returns the URI that a certificate has to carry as a subject
// alternative name, so that its holder may speak as instance id (rule 7).
func IdentityURI(trustDomain string, id hbs.InstanceID) *url.URL {
	return &url.URL{Scheme: identityScheme, Host: trustDomain, Path: identityPath + string(id)}
}

// identities returns the instances that cert names in the trust domain. Names
// are compared as they stand: an asterisk is no wildcard, and DNS names, IP
// addresses and the common name say nothing.
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

// identityError tells that a certificate of the authority does not name the
// instance that its holder has to be.
type identityError struct {
	named       []hbs.InstanceID
	wanted      []hbs.InstanceID
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
	if len(e.wanted) > 0 {
		b.WriteString(", not " + join(e.wanted))
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

// checkIdentity returns an *identityError unless cert names one of wanted, or
// any instance when wanted is empty.
func checkIdentity(cert *x509.Certificate, trustDomain string, wanted ...hbs.InstanceID) error {
	named := identities(cert, trustDomain)
	for _, id := range named {
		if len(wanted) == 0 || slices.Contains(wanted, id) {
			return nil
		}
	}
	return &identityError{named, wanted, trustDomain}
}

// checkSender refuses a heartbeat whose sender is not named by the certificate
// of its connection.
func (s *Server) checkSender(ctx context.Context, id hbs.InstanceID) error {
	if s.TLS == nil {
		return nil
	}
	from, ok := peer.FromContext(ctx)
	if !ok {
		return status.Error(codes.Unauthenticated, "connection without a peer")
	}
	info, ok := from.AuthInfo.(credentials.TLSInfo)
	if !ok || len(info.State.PeerCertificates) == 0 {
		return status.Error(codes.Unauthenticated, "connection without a certificate")
	}
	err := checkIdentity(info.State.PeerCertificates[0], s.TLS.TrustDomain, id)
	s.suspects.note(s, host(from.Addr)+" as "+string(id), err)
	if err != nil {
		return status.Error(codes.PermissionDenied, err.Error())
	}
	return nil
}

// accept checks the caller's certificate in the handshake of conn. Which
// instance the caller is, it states later in its heartbeats.
func (s *Server) accept(conn net.Conn) func(tls.ConnectionState) error {
	return func(state tls.ConnectionState) error {
		err := checkIdentity(state.PeerCertificates[0], s.TLS.TrustDomain)
		s.suspects.note(s, host(conn.RemoteAddr()), err)
		return err
	}
}

// expect checks the certificate of the instance at addr in the handshake. It
// has to name an instance that is known there; any will do at the address of a
// seed that nothing is known about.
func (s *Server) expect(addr netip.AddrPort) func(tls.ConnectionState) error {
	return func(state tls.ConnectionState) error {
		err := s.TLS.verify(state)
		if err == nil {
			err = checkIdentity(state.PeerCertificates[0], s.TLS.TrustDomain, s.members.at(addr)...)
		}
		s.suspects.note(s, addr.String(), err)
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

// suspects remembers at which addresses a certificate was refused for its
// names, so that only changes are logged. Callers are known by host and stated
// id, since their ports change; called instances by host and port.
type suspects struct {
	mu sync.Mutex
	at map[string]string
}

// note counts an *identityError and logs it when it is new at addr, and its end.
// Other errors change nothing.
func (x *suspects) note(s *Server, addr string, err error) {
	var wrong *identityError
	if err != nil && !errors.As(err, &wrong) {
		return
	}
	if wrong != nil {
		s.counter(meterIdentities).Inc(1)
	}
	if !x.change(addr, wrong) {
		return
	}
	if wrong == nil {
		s.Log.Info("peer's certificate names it again", zap.String("address", addr))
		return
	}
	s.Log.Warn("peer's certificate does not name it", zap.String("address", addr), zap.Error(wrong))
}

// change reports whether what is refused at addr differs from before.
func (x *suspects) change(addr string, wrong *identityError) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	old, was := x.at[addr]
	if wrong == nil {
		delete(x.at, addr)
		return was
	}
	if old == wrong.Error() || !was && len(x.at) >= maxSuspects {
		return false
	}
	x.at[addr] = wrong.Error()
	return true
}
