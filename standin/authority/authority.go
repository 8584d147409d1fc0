// Package authority is a stand-in for the authority that signs the certificates
// of instances and operators. It writes PEM files.
package authority

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"os"
	"path/filepath"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
)

// Name is the name of the authority's own certificate file.
const Name = "authority"

// serialBound bounds the random serial numbers.
const serialBound = 1 << 60

// firstStamp is the modification time of the first file written, in seconds.
// Later files are newer, by which readers notice them in virtual time too.
const firstStamp = 1 << 32

var files atomic.Int64

// Authority signs certificates.
type Authority struct {
	dir  string
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
}

// New returns a new authority whose certificate lies in dir.
func New(dir string) (a *Authority, err error) {
	defer func() { err = errors.Wrap(err, "new authority") }()
	a = &Authority{dir: dir}
	template := template(Name)
	template.IsCA = true
	a.key, err = ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, err
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &a.key.PublicKey, a.key)
	if err != nil {
		return nil, err
	}
	a.cert, err = x509.ParseCertificate(der)
	if err != nil {
		return nil, err
	}
	return a, a.Publish(dir)
}

// File returns the file of a certificate of that name in the authority's own
// directory; that of its key is File(name + "-key").
func (a *Authority) File(name string) string { return file(a.dir, name) }

// Publish writes the authority's certificate into dir.
func (a *Authority) Publish(dir string) error {
	return write(dir, Name, "CERTIFICATE", a.cert.Raw)
}

// Issue writes a new key and its certificate into dir, after alter.
func (a *Authority) Issue(dir, name string, alter func(*x509.Certificate)) (err error) {
	defer func() { err = errors.Wrapf(err, "issue %s", name) }()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return err
	}
	template := template(name)
	alter(template)
	der, err := x509.CreateCertificate(rand.Reader, template, a.cert, &key.PublicKey, a.key)
	if err != nil {
		return err
	}
	private, err := x509.MarshalECPrivateKey(key)
	if err != nil {
		return err
	}
	if err := write(dir, name, "CERTIFICATE", der); err != nil {
		return err
	}
	return write(dir, name+"-key", "EC PRIVATE KEY", private)
}

// template is valid at any time that a test runs at.
func template(name string) *x509.Certificate {
	serial, err := rand.Int(rand.Reader, big.NewInt(serialBound))
	if err != nil {
		panic(err) // crypto/rand does not fail
	}
	return &x509.Certificate{
		SerialNumber:          serial,
		Subject:               pkix.Name{CommonName: name},
		NotBefore:             time.Unix(0, 0),
		NotAfter:              time.Unix(1<<33, 0),
		BasicConstraintsValid: true,
		KeyUsage:              x509.KeyUsageDigitalSignature | x509.KeyUsageCertSign,
		ExtKeyUsage:           []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
}

func file(dir, name string) string { return filepath.Join(dir, name+".pem") }

func write(dir, name, kind string, der []byte) error {
	data := pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der})
	if err := os.WriteFile(file(dir, name), data, 0o600); err != nil {
		return err
	}
	at := time.Unix(firstStamp+files.Add(1), 0)
	return os.Chtimes(file(dir, name), at, at)
}
