package dispatch

import (
	"math"
	"time"

	"google.golang.org/protobuf/proto"

	dispatchv1 "github.com/parsleyhill/parsleyhill/gen/dispatch/v1"
	"github.com/parsleyhill/parsleyhill/internal/decide/offer"
	"github.com/parsleyhill/parsleyhill/internal/decide/topology"
)

// sharedReportAge is how long a computed report serves the frames to all peers. A
// busy host sends frames to some peer every few milliseconds.
const sharedReportAge = 5 * time.Millisecond

// versionedReport is this host's last capacity report. It is accessed only by the
// loop.
type versionedReport struct {
	report offer.CapacityReport
	// room is the report as it is sent.
	room *dispatchv1.Room
	// version counts the changes of the report.
	version    int64
	computedAt time.Time
}

// update replaces the report if it differs from the last one.
func (r *versionedReport) update(report offer.CapacityReport) {
	if r.version == 0 || !r.report.Equal(report) {
		r.report, r.room = report, capacityReportToProto(report)
		r.version++
	}
}

// report sends a frame to each peer whose report is due and has changed, and an
// empty heartbeat to those that were sent nothing for topology.HeartbeatInterval.
func (p *peers) report(now time.Time) {
	updated := false
	// The runs of this host's jobs are leased by what it says of its presence.
	wasUnsettled := p.unsettled
	p.unsettled = p.dispatcher.core.PresentAt(now).Before(now)
	settled := wasUnsettled && !p.unsettled
	for _, l := range p.links {
		l.dirty = l.dirty || l.deferred || settled
		interval := topology.ReportInterval(len(p.links), l.host.Zone == p.self.Zone)
		if p.dispatcher.core.Flow.Saturated() {
			interval = topology.HeartbeatInterval
		}
		if now.Sub(l.lastReport) < interval-tickInterval/2 {
			continue
		}
		if !updated {
			p.updateReport(now)
			updated = true
		}
		heartbeatDue := now.Sub(l.lastFrame) >= topology.HeartbeatInterval-tickInterval/2
		l.dirty = p.addReport(now, l) || heartbeatDue || l.dirty
	}
}

// flush makes each link send the messages added since the last call. A frame
// with messages also carries a report, unless the last one is more recent than
// topology.MinReportInterval, so that the peer learns how much capacity its own
// tasks took or freed.
func (p *peers) flush(now time.Time) {
	updated := false
	for _, l := range p.links {
		if !l.dirty {
			continue
		}
		l.dirty, l.deferred, l.lastFrame = false, false, now
		if now.Sub(l.lastReport) >= topology.MinReportInterval {
			if !updated {
				p.updateReport(now)
				updated = true
			}
			p.addReport(now, l)
		}
		l.stamp(p.stamp(now), p.stamp(p.dispatcher.core.PresentAt(now)))
		p.dispatcher.load.framesOut++
		wake(l.wake)
	}
}

// stamp sets the stamps of the next frame. While an earlier one cannot be sent, messages
// are added to it, and it gets the stamps of the last of them.
func (l *link) stamp(sent, present int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.pending.SentMs, l.pending.PresentMs = sent, 0
	if present != sent {
		l.pending.PresentMs = present
	}
}

// updateReport computes this host's report, unless it was computed less than
// sharedReportAge ago.
func (p *peers) updateReport(now time.Time) {
	if now.Sub(p.capacity.computedAt) < sharedReportAge {
		return
	}
	p.capacity.computedAt = now
	report := p.dispatcher.core.Report(now)
	if p.dispatcher.core.Flow.Saturated() && p.capacity.version > 0 && nearlyEqual(report, p.capacity.report) {
		return
	}
	p.capacity.update(report)
}

// nearChange is the part of the capacity by which the free capacity of nearly equal
// reports may differ: less than one task of 8 cores at a worker of 16 cores among
// five.
const nearChange = 0.08

// nearlyEqual reports whether two reports name the same workers and differ little
// in their free capacity.
func nearlyEqual(a, b offer.CapacityReport) bool {
	if a.Capacity != b.Capacity || a.Stopping != b.Stopping || a.Leaving != b.Leaving || a.Saturated != b.Saturated ||
		a.Exclusive != b.Exclusive || len(a.Workers) != len(b.Workers) {
		return false
	}
	change := 0.0
	for i, w := range a.Workers {
		if w.ID != b.Workers[i].ID {
			return false
		}
		change += math.Abs(float64(w.Free.MilliCPU - b.Workers[i].Free.MilliCPU))
	}
	return change <= nearChange*float64(a.Capacity)
}

// addReport adds the report to the link's next frame. An unchanged report is left
// out unless the peer has sent messages since the last one: a peer subtracts the
// tasks that it offers from the capacity that it knows, and only another report
// corrects that. It reports whether the report was added.
func (p *peers) addReport(now time.Time, l *link) bool {
	l.lastReport = now
	if l.reportVersion == p.capacity.version && !l.exchanged {
		return false
	}
	if now.Sub(l.fullReport) < p.dispatcher.core.Flow.ReportInterval(len(p.links), proto.Size(p.capacity.room)) {
		return false
	}
	l.fullReport = now
	p.dispatcher.load.reportsOut++
	l.reportVersion, l.exchanged = p.capacity.version, false
	l.mu.Lock()
	l.pending.Room = p.capacity.room
	l.mu.Unlock()
	return true
}
