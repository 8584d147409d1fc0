package replay

import (
	hbs "github.com/hornbeamstage/hornbeamstage"
	"github.com/hornbeamstage/hornbeamstage/network"
	"github.com/hornbeamstage/hornbeamstage/standin/memnet"
)

// Domains in addition to the failure domains of the fleet.
const (
	domainCallers  hbs.DomainName = "callers"
	domainPlatform hbs.DomainName = "platform"
)

// networks provides the network of each failure domain and simulates network
// faults.
type networks interface {
	network(d hbs.DomainName) hbs.Network
	// cut blocks traffic between a and b until heal. It returns false if this is
	// not supported.
	cut(a, b hbs.DomainName) bool
	heal(a, b hbs.DomainName)
	// instanceNetwork returns the network of one instance in domain d.
	instanceNetwork(d hbs.DomainName, id hbs.InstanceID) hbs.Network
	// hold delays all traffic of an instance until release. It returns false if
	// this is not supported.
	hold(id hbs.InstanceID) bool
	release(id hbs.InstanceID)
}

// inMemory is the networks of the virtual clock.
type inMemory struct{ fabric *memnet.Fabric }

func (m *inMemory) network(d hbs.DomainName) hbs.Network { return m.fabric.Network(d) }

func (m *inMemory) cut(a, b hbs.DomainName) bool {
	m.fabric.Partition(a, b)
	return true
}

func (m *inMemory) heal(a, b hbs.DomainName) { m.fabric.Heal(a, b) }

func (m *inMemory) instanceNetwork(d hbs.DomainName, id hbs.InstanceID) hbs.Network {
	return m.fabric.Process(d, string(id))
}

func (m *inMemory) hold(id hbs.InstanceID) bool {
	m.fabric.Hold(string(id))
	return true
}

func (m *inMemory) release(id hbs.InstanceID) { m.fabric.Release(string(id)) }

// loopback is the network of the real clock. It can't simulate faults.
type loopback struct{}

func (loopback) network(hbs.DomainName) hbs.Network { return network.TCP{} }
func (loopback) cut(_, _ hbs.DomainName) bool       { return false }
func (loopback) heal(_, _ hbs.DomainName)           {}
func (loopback) hold(hbs.InstanceID) bool           { return false }
func (loopback) release(hbs.InstanceID)             {}

func (loopback) instanceNetwork(hbs.DomainName, hbs.InstanceID) hbs.Network { return network.TCP{} }
