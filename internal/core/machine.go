package core

import "slices"

// machine is the leader's view of one rented machine and of the worker on it.
type machine struct {
	name, address, zone string
	typ                 *MachineType // nil if the catalog does not list typeName
	typeName            string
	spot                bool
	session, seq        uint64 // of the newest report; session 0: none in this term
	reportedToken       uint64 // highest fencing token that the worker has reported

	group              *machineGroup  // the stored record that lists the machine, or will list it
	storedIn           *machineGroup  // the last group whose stored record is known to list the machine; nil: none yet
	retainedIn         *retainedGroup // its partition record; no task is placed here until the record ends
	reconciled         bool           // this leader knows every task that may run on the machine
	lost               bool           // its lease has expired, or the cloud lists it as failed
	lostAt             Micros
	booting            bool   // no leader has received a report yet
	bootOverdue        bool   // it did not report within the expected boot time
	discoveredAt       Micros // when this leader first learnt of the machine
	rentedAt           Micros // on this process's clock
	lastReport         Micros // when the last report of any kind arrived
	lastAcknowledged   Micros // when a report was last acknowledged, which renews the lease
	lastPeriodicReport Micros // last report that is not a reply to a direct command
	unverified         bool   // not rented in this term, not recorded, token not reported; see applyReport
	idleSince          Micros // since when no task occupies it; 0: some does

	placements          []*placement
	exited              map[TaskAttempt]*exitedTask // exited tasks that the worker has not forgotten yet
	used                Resources                   // by the placements that occupy resources
	spareUsed           Resources                   // the part of used that was placed on spare capacity; see spareSlots
	commandInFlight     bool                        // a direct command has no result yet
	directCommandFailed bool                        // the last one; until the next periodic report only probes are sent
	probeQueued         bool                        // in Core.probeQueue
	probeStarted        Micros                      // when the probe in flight was sent; 0: none is in flight
	commandFailures     int                         // consecutive direct commands without a reply
	unreachable         bool                        // a probe failed, or its zone is partitioned; a report clears it

	// Detection of inbound loss; see inbound_loss.go.
	inboundLost       bool
	lastAnswerToken   uint64 // the leader's token when the last report was handled
	ignoredAnswers    int    // consecutive answers whose token the worker did not adopt
	unexecutedAnswers int    // consecutive answers whose commands the worker did not execute

	commandsQueued   bool // in Core.commandQueue
	commandsDeferred bool // in Core.commandRetryQueue

	draining         bool
	vacating         bool   // being emptied so that it can be released; it gets no more tasks
	vacatingSince    Micros // when vacating was set, or the last service was moved
	releasing        bool   // queued for release, or the release request is in flight
	releaseReason    string
	blockedUntil     Micros          // after a start was refused for lack of capacity
	quarantinedUntil Micros          // after tasks of several jobs failed here
	failedJobs       map[string]bool // jobs with a failed task here and no later successful start
	images           []cachedImage   // the image cache, most recently used last
	fetchingTasks    int             // tasks that are fetching their image
}

// cachedImage is an image in a machine's cache.
type cachedImage struct {
	id     int // as in Core.imageIDs
	sizeMB int64
}

// free returns the unallocated resources, and none for a machine of unknown type.
func (m *machine) free() Resources {
	if m.typ == nil {
		return Resources{}
	}
	return m.typ.Capacity.Sub(m.used)
}

// hasAttempt reports whether the worker knows this attempt of a task, or may come to know it.
func (m *machine) hasAttempt(j *job, index int, attempt uint64) bool {
	id := TaskAttempt{j.spec.ID, index, attempt}
	return m.exited[id] != nil || slices.ContainsFunc(m.placements, func(p *placement) bool { return p.taskAttempt() == id })
}

// hourlyPrice returns the machine's price per hour.
func (m *machine) hourlyPrice() float64 {
	if m.spot {
		return m.typ.SpotPrice
	}
	return m.typ.Price
}

// hasUnansweredStart reports whether a direct start command to the machine went unanswered
// and may still arrive.
func (m *machine) hasUnansweredStart() bool {
	return slices.ContainsFunc(m.placements, func(p *placement) bool { return p.startUnanswered })
}

// hasImage reports whether the image is in the machine's cache.
func (m *machine) hasImage(id int) bool {
	for _, im := range m.images {
		if im.id == id {
			return true
		}
	}
	return false
}

// markImageUsed makes an image the most recently used one, adding it if it is new, and
// evicts the least recently used images that exceed the cache size.
func (m *machine) markImageUsed(id int, mb int64) {
	for i, im := range m.images {
		if im.id == id {
			copy(m.images[i:], m.images[i+1:])
			m.images[len(m.images)-1] = im
			return
		}
	}
	m.images = append(m.images, cachedImage{id, mb})
	if m.typ == nil || m.typ.CacheMB == 0 {
		return
	}
	var sum int64
	for _, im := range m.images {
		sum += im.sizeMB
	}
	for len(m.images) > 1 && sum > m.typ.CacheMB {
		sum -= m.images[0].sizeMB
		m.images = m.images[1:]
	}
}

// dropImage removes an image from the cache unless another task on the machine uses it. It is
// called when a task that waited for the image ends: the worker then aborts the fetch.
func (m *machine) dropImage(id int) {
	for _, p := range m.placements {
		if p.job != nil && p.job.imageID == id && p.occupies() {
			return
		}
	}
	m.images = slices.DeleteFunc(m.images, func(im cachedImage) bool { return im.id == id })
}

// reportedWithin reports whether the machine has reported to this leader within the last d.
func (m *machine) reportedWithin(now, d Micros) bool { return m.session > 0 && now-m.lastReport <= d }

// reportTimeout returns how long after its last report a machine still gets tasks: one report
// interval with its maximum jitter of a quarter, and one second for a lost packet.
func (c *Core) reportTimeout() Micros { return c.cfg.ReportInterval*5/4 + Second }

// recorded reports whether a record that lists the machine is stored.
func (m *machine) recorded() bool { return m.storedIn != nil }
