package memory

import (
	"math"
	"os"
	"runtime/debug"
	"strconv"
	"strings"
	"syscall"
)

// Machine is what a process may take of its machine.
type Machine struct {
	// Bytes is the memory above which the process is ended, in bytes; 0 if not given. It
	// is then derived from the limit of the Go runtime, or from the machine's memory.
	Bytes int64
	// Descriptors is the number of descriptors that it may have open; 0 if not given. The
	// limit of the operating system holds beside.
	Descriptors int
}

const (
	// RuntimeShare is the fraction of a process's memory that is the Go runtime's soft
	// limit. Near it the garbage collector runs more often.
	RuntimeShare = 0.7
	// machineShare is the fraction of the machine's memory that a process takes for its
	// own if it was given no limit.
	machineShare = 0.5
	// budgetShare is the fraction of a process's memory that is held for clients. The
	// rest is for what doesn't grow with them, for garbage, and for bytes that the
	// operating system has received and that weren't read yet.
	budgetShare = 0.4
)

// The fractions of a process's descriptors that callers' connections, requests that run,
// operators' connections and those of peers take. A request that runs has a connection
// to an endpoint. The rest is for calls to the platform, and for those to endpoints and
// peers that belong to no request.
const (
	connectionDescriptors = 0.45
	requestDescriptors    = 0.3
	operatorDescriptors   = 0.02
	peerDescriptors       = 0.1
)

// What connections and requests that run take, in bytes.
const (
	// ConnectionBytes is about what a connection takes without a request: the buffers and
	// the stack of net/http, and headers of the usual size.
	ConnectionBytes = 20 << 10
	// RequestBytes is about what a request that runs takes beside its body: its attempt
	// with the connection to the endpoint, and what is known of it.
	RequestBytes = 40 << 10
	// PeerBytes is about what a connection of another instance takes: the buffers and the
	// stacks of gRPC.
	PeerBytes = 96 << 10
)

// NewMachineBudget returns the budget of a process.
func NewMachineBudget(m Machine) *Budget {
	b := NewBudget(int64(budgetShare * float64(m.bytes())))
	n := float64(m.descriptors())
	b.Limit(ShareConnections, int64(connectionDescriptors*n)*ConnectionBytes)
	b.Limit(ShareOperators, int64(operatorDescriptors*n)*ConnectionBytes)
	b.Limit(SharePeers, int64(peerDescriptors*n)*PeerBytes)
	b.Limit(ShareRequests, int64(requestDescriptors*n)*RequestBytes)
	return b
}

// bytes returns the memory of the process in bytes.
func (m Machine) bytes() int64 {
	if m.Bytes > 0 {
		return m.Bytes
	}
	bytes := int64(machineShare * float64(machineMemory()))
	if limit := debug.SetMemoryLimit(-1); limit < math.MaxInt64 {
		bytes = min(bytes, int64(float64(limit)/RuntimeShare))
	}
	return bytes
}

// unknownMemory is taken for the memory of a machine that doesn't tell it, in bytes.
const unknownMemory = 1 << 30

// machineMemory returns the memory of the machine in bytes.
func machineMemory() int64 {
	data, err := os.ReadFile("/proc/meminfo")
	if err != nil {
		return unknownMemory
	}
	_, rest, _ := strings.Cut(string(data), "MemTotal:")
	fields := strings.Fields(rest)
	if len(fields) == 0 {
		return unknownMemory
	}
	kib, err := strconv.ParseInt(fields[0], 10, 64)
	if err != nil {
		return unknownMemory
	}
	return kib << 10
}

// descriptors returns the number of descriptors that the process may have open.
func (m Machine) descriptors() int {
	n := math.MaxInt32
	var limit syscall.Rlimit
	if syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit) == nil && limit.Cur < math.MaxInt32 {
		n = int(limit.Cur)
	}
	if m.Descriptors > 0 {
		n = min(n, m.Descriptors)
	}
	return n
}
