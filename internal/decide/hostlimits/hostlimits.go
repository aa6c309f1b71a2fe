// Package hostlimits derives the limits on what clients may use of a host from the
// memory and the descriptors of its machine.
package hostlimits

import (
	"fmt"
	"time"
)

// Machine describes what a process may use. Zero means that a value is unknown.
type Machine struct {
	MemoryBytes int64
	// Descriptors is the number of descriptors for sockets.
	Descriptors int
}

// Override replaces the defaults of limits. Zero leaves the default.
type Override struct {
	// CallerConns is the number of connections of callers.
	CallerConns int
	// BodyBytes is the memory for request bodies in bytes.
	BodyBytes int64
	// JobTasks is the number of tasks of a job.
	JobTasks int
	// BodyGrace and BodyBytesPerSecond are the time for a request's body: the grace, and
	// the time that its bytes take at the rate.
	BodyGrace          time.Duration
	BodyBytesPerSecond int64
}

// Limits bounds what clients may use of a host.
type Limits struct {
	// CallerConns, PeerConns and ProbeConns are the numbers of open connections of
	// callers, of other hosts, and of each port for readiness probes and metrics.
	CallerConns, PeerConns, ProbeConns int
	// Backlog is the number of connections of a port that have not been accepted.
	Backlog int
	// BodyBytes is the memory that request bodies of callers may take together.
	BodyBytes int64
	// JobTasks is the largest number of tasks of a job.
	JobTasks int
	// BodyGrace and BodyBytesPerSecond bound the time for a request's body.
	BodyGrace          time.Duration
	BodyBytesPerSecond int64
}

// UnreadBytes is the size in bytes of the buffer in which the operating system keeps
// what a connection has received. It holds a header of the largest size.
const UnreadBytes = 16 << 10

// A host drives a job of the log that another one has accepted with these limits,
// whatever the memory of its own machine.
const (
	// MaxJobSteps bounds the steps of a job: each end of a task takes time that grows
	// with the steps of its job.
	MaxJobSteps = 1024
	// MaxJobTasks is the largest default of Limits.JobTasks.
	MaxJobTasks = 8192
)

const (
	// defaultMemory and defaultDescriptors stand for unknown values of a machine.
	defaultMemory      = 256 << 20
	defaultDescriptors = 1024
	// connBytes is the memory of a connection with a request that is being read:
	// buffers, stacks, a header of the largest size, and bytes that wait in the kernel.
	connBytes = 64 << 10
	// Callers get a half of the descriptors and a quarter of the memory, other hosts
	// a half of that. The rest is for the store and the workers.
	callerDescriptorsPart, callerMemoryPart = 2, 4
	peerDescriptorsPart, peerMemoryPart     = 4, 8
	probeDescriptorsPart                    = 32
	maxProbeConns                           = 32
	minConns                                = 8
	// Connections that have not been accepted get a thirty-second of the memory.
	backlogMemoryPart, minBacklog = 32, 64
	// Bodies get an eighth of the memory. An override may give them at most half.
	bodyMemoryPart, maxBodyMemoryPart = 8, 2
	// A job gets a thirty-second of the memory. taskBytes is the memory of a task that
	// waits, and of its offer.
	jobMemoryPart, taskBytes = 32, 1 << 10
	minJobTasks              = 1024
	// A body of 256 KB may take 79 s. Callers wait a few seconds for their answers.
	bodyGrace          = 15 * time.Second
	bodyBytesPerSecond = 4 << 10
	// maxBodyGrace bounds the grace of an override.
	maxBodyGrace = 10 * time.Minute
)

// For returns the limits of a machine. It returns an error if an override does not
// fit the machine.
func For(m Machine, o Override) (Limits, error) {
	if m.MemoryBytes <= 0 {
		m.MemoryBytes = defaultMemory
	}
	if m.Descriptors <= 0 {
		m.Descriptors = defaultDescriptors
	}
	conns := func(descriptorsPart int, memoryPart int64) int {
		return max(minConns, min(m.Descriptors/descriptorsPart, int(m.MemoryBytes/memoryPart/connBytes)))
	}
	l := Limits{
		BodyGrace: bodyGrace, BodyBytesPerSecond: bodyBytesPerSecond,
		CallerConns: conns(callerDescriptorsPart, callerMemoryPart),
		PeerConns:   conns(peerDescriptorsPart, peerMemoryPart),
		Backlog:     max(minBacklog, int(m.MemoryBytes/backlogMemoryPart/UnreadBytes)),
		ProbeConns:  max(minConns, min(maxProbeConns, m.Descriptors/probeDescriptorsPart)),
		BodyBytes:   m.MemoryBytes / bodyMemoryPart,
		JobTasks:    max(minJobTasks, min(MaxJobTasks, int(m.MemoryBytes/jobMemoryPart/taskBytes))),
	}
	if o.CallerConns < 0 || o.CallerConns >= m.Descriptors {
		return Limits{}, fmt.Errorf("%d connections of callers are not between 0 and the %d descriptors for sockets", o.CallerConns, m.Descriptors)
	}
	if o.BodyBytes < 0 || o.BodyBytes > m.MemoryBytes/maxBodyMemoryPart {
		return Limits{}, fmt.Errorf("%d bytes for request bodies are not between 0 and half of the memory of %d bytes", o.BodyBytes, m.MemoryBytes)
	}
	if o.JobTasks < 0 || int64(o.JobTasks) > m.MemoryBytes/taskBytes {
		return Limits{}, fmt.Errorf("%d tasks of a job are not between 0 and %d, one for each %d bytes of memory",
			o.JobTasks, m.MemoryBytes/taskBytes, taskBytes)
	}
	if o.BodyGrace < 0 || o.BodyGrace > maxBodyGrace {
		return Limits{}, fmt.Errorf("time %v for a body is not between 0 and %v", o.BodyGrace, maxBodyGrace)
	}
	if o.BodyBytesPerSecond < 0 {
		return Limits{}, fmt.Errorf("rate of %d bytes/s for a body is negative", o.BodyBytesPerSecond)
	}
	if o.BodyGrace > 0 {
		l.BodyGrace = o.BodyGrace
	}
	if o.BodyBytesPerSecond > 0 {
		l.BodyBytesPerSecond = o.BodyBytesPerSecond
	}
	if o.JobTasks > 0 {
		l.JobTasks = o.JobTasks
	}
	if o.CallerConns > 0 {
		l.CallerConns = o.CallerConns
	}
	if o.BodyBytes > 0 {
		l.BodyBytes = o.BodyBytes
	}
	return l, nil
}
