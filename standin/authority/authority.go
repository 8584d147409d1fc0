// Package authority is a stand-in for the certificate authority of instances and
// operators. It writes certificates and keys to PEM files.
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

// CertName is the name of the file with the authority's certificate, without its
// extension, and the common name in the certificate.
const CertName = "authority"

// serialBound is the exclusive upper bound of the random serial numbers.
const serialBound = 1 << 60

// baseModTime is a Unix time in seconds. Each file is written with a modification
// time one second after that of the file before, so that readers detect a
// replaced file also in tests with virtual time, where two writes can be too close
// in real time to get different modification times.
const baseModTime = 1 << 32

var filesWritten atomic.Int64

// Authority is a certificate authority with a self-signed certificate.
type Authority struct {
	dir  string
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
}

// New returns a new authority and writes its certificate into dir.
func New(dir string) (a *Authority, err error) {
	defer func() { err = errors.Wrap(err, "new authority") }()
	a = &Authority{dir: dir}
	template := template(CertName)
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

// File returns the path of the certificate with the given name in the directory
// passed to New. The path of its key is File(name + "-key").
func (a *Authority) File(name string) string { return file(a.dir, name) }

// Publish writes the authority's certificate into dir.
func (a *Authority) Publish(dir string) error {
	return write(dir, CertName, "CERTIFICATE", a.cert.Raw)
}

// Issue creates a key and a certificate for it and writes both into dir. alter
// modifies the certificate template before it is signed.
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

// template returns the template of a certificate. Its validity covers the system
// time as well as the virtual time of testing/synctest, which starts in 2000.
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
	at := time.Unix(baseModTime+filesWritten.Add(1), 0)
	return os.Chtimes(file(dir, name), at, at)
}
