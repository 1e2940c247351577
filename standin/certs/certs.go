// Package certs creates TLS keys and certificates for tests.
package certs

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"time"

	"github.com/go-faster/errors"
)

// validity is how long a certificate is valid.
const validity = 24 * time.Hour

// Write creates a self-signed certificate for 127.0.0.1 and writes it and its key to
// a folder as PEM files. Clients can use the certificate as the certificate
// authority that they trust.
func Write(folder string) (certFile, keyFile string, err error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return "", "", errors.Wrap(err, "generate key")
	}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "pistachiotray"},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(validity),
		KeyUsage:    x509.KeyUsageDigitalSignature | x509.KeyUsageCertSign,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
		IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)}, IsCA: true, BasicConstraintsValid: true,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		return "", "", errors.Wrap(err, "create certificate")
	}
	secret, err := x509.MarshalECPrivateKey(key)
	if err != nil {
		return "", "", errors.Wrap(err, "encode key")
	}
	certFile, keyFile = filepath.Join(folder, "cert.pem"), filepath.Join(folder, "key.pem")
	if err := write(certFile, "CERTIFICATE", der); err != nil {
		return "", "", err
	}
	return certFile, keyFile, write(keyFile, "EC PRIVATE KEY", secret)
}

// write writes a PEM file that only its owner can read. kind is the PEM type.
func write(name, kind string, der []byte) error {
	const mode = 0o600
	return os.WriteFile(name, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}), mode)
}
