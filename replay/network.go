package replay

import (
	hbs "github.com/hornbeamstage/hornbeamstage"
	"github.com/hornbeamstage/hornbeamstage/network"
	"github.com/hornbeamstage/hornbeamstage/standin/memnet"
)

// Domains beside the fleet's own.
const (
	domainCallers  hbs.DomainName = "callers"
	domainPlatform hbs.DomainName = "platform"
)

// domains gives each domain its network and cuts domains off.
type domains interface {
	network(d hbs.DomainName) hbs.Network
	// cut returns false when the network can't do it.
	cut(a, b hbs.DomainName) bool
	heal(a, b hbs.DomainName)
	// process is the network of one instance in d.
	process(d hbs.DomainName, id hbs.InstanceID) hbs.Network
	// hold keeps back all bytes of an instance until release; it returns false
	// when the network can't do it.
	hold(id hbs.InstanceID) bool
	release(id hbs.InstanceID)
}

type virtual struct{ fabric *memnet.Fabric }

func (v *virtual) network(d hbs.DomainName) hbs.Network { return v.fabric.Network(d) }

func (v *virtual) cut(a, b hbs.DomainName) bool {
	v.fabric.Cut(a, b)
	return true
}

func (v *virtual) heal(a, b hbs.DomainName) { v.fabric.Heal(a, b) }

func (v *virtual) process(d hbs.DomainName, id hbs.InstanceID) hbs.Network {
	return v.fabric.Process(d, string(id))
}

func (v *virtual) hold(id hbs.InstanceID) bool {
	v.fabric.Hold(string(id))
	return true
}

func (v *virtual) release(id hbs.InstanceID) { v.fabric.Release(string(id)) }

type loopback struct{}

func (loopback) network(hbs.DomainName) hbs.Network { return network.TCP{} }
func (loopback) cut(_, _ hbs.DomainName) bool       { return false }
func (loopback) heal(_, _ hbs.DomainName)           {}
func (loopback) hold(hbs.InstanceID) bool           { return false }
func (loopback) release(hbs.InstanceID)             {}

func (loopback) process(hbs.DomainName, hbs.InstanceID) hbs.Network { return network.TCP{} }
