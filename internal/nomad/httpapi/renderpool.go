package httpapi

import (
	"context"
	"runtime"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"aspenstall/internal/config"
)

// RenderLimits bound what answers that show job files cost this process. Such a file is stored
// compressed: an answer of a few megabytes may come from a few kilobytes.
type RenderLimits struct {
	Workers        int     // answers that are unpacked and encoded at a time
	TeamBytesPerS  float64 // unpacked bytes per second for one team
	HeldBytes      int     // encoded answers that are being sent, of all teams
	TeamHeldBytes  int     // the same of one team
	WaitingPerTeam int     // requests of one team that wait for a worker
	MachinesFactor int     // the machines' share, as a multiple of a team's
}

// Shares of the platform's limits that answers may use.
const (
	renderBytesPerCoreSecond = 40e6  // unpacked bytes that a core decodes and encodes again in a second
	renderTeamCPUShare       = 0.05  // of the process's share of a core, for one team
	renderMemoryShare        = 0.05  // of the process's memory, for answers that are being sent
	renderTeamHeldShare      = 0.5   // of that, for one team
	renderWaitingPerTeam     = 4     // requests
	renderMachinesFactor     = 5     // machines ask before they can start tasks
	memoryPerWorker          = 256.0 // MB of the process's memory
	maxRenderWorkers         = 4
	minHeldBytes             = 8 << 20 // the largest answers of two teams
	burst                    = 2.0     // a team's burst, in seconds of its rate
)

// NewRenderLimits derives the limits from the platform's limits on this process.
func NewRenderLimits(p *config.Platform) RenderLimits {
	cpu, memMB := p.Params.Limits.CPU, p.Params.Limits.MemMB
	if cpu <= 0 {
		cpu = float64(runtime.GOMAXPROCS(0))
	}
	held := max(int(memMB*renderMemoryShare*(1<<20)), minHeldBytes)
	return RenderLimits{
		Workers: min(max(int(min(memMB/memoryPerWorker, cpu/2)), 1), maxRenderWorkers), TeamBytesPerS: cpu * renderBytesPerCoreSecond * renderTeamCPUShare,
		HeldBytes: held, TeamHeldBytes: int(float64(held) * renderTeamHeldShare), WaitingPerTeam: renderWaitingPerTeam,
		MachinesFactor: renderMachinesFactor,
	}
}

// renderPool unpacks and encodes job files for answers, outside the goroutine that owns the node's
// state. Each team has a share of it, so that the questions of one do not hold up the others.
type renderPool struct {
	limits  RenderLimits
	workers chan struct{} // holds a token for each worker that is busy

	mu    sync.Mutex
	held  int // bytes of encoded answers that are being sent
	teams map[string]*teamRenders
}

// teamRenders is one team's use of the pool.
type teamRenders struct {
	waiting, maxWaiting int
	held, maxHeld       int
	bytes               *rate.Limiter // of unpacked bytes; below 0 if an answer was larger than what was left
}

func newRenderPool(l RenderLimits) *renderPool {
	return &renderPool{limits: l, workers: make(chan struct{}, l.Workers), teams: map[string]*teamRenders{}}
}

// team returns a team's use of the pool; p.mu is held.
func (p *renderPool) team(name string) *teamRenders {
	t := p.teams[name]
	if t == nil {
		factor := 1
		if name == machinesShare {
			factor = p.limits.MachinesFactor
		}
		perS := p.limits.TeamBytesPerS * float64(factor)
		t = &teamRenders{
			maxWaiting: p.limits.WaitingPerTeam * factor, maxHeld: p.limits.TeamHeldBytes,
			bytes: rate.NewLimiter(rate.Limit(perS), max(int(perS*burst), 1)),
		}
		p.teams[name] = t
	}
	return t
}

// render runs encode on a worker. encode returns an encoded answer and how many bytes it unpacked. The
// caller must call release when it has sent the answer. render fails with errTooManyRequests if the
// team has used up its share, and with ErrUnavailable if ctx ends or the others' answers take up all
// memory.
func (p *renderPool) render(ctx context.Context, team string, encode func() (answer []byte, unpacked int, err error)) (answer []byte, release func(), err error) {
	if err := p.enter(team); err != nil {
		return nil, nil, err
	}
	select {
	case p.workers <- struct{}{}:
		p.leave(team)
	case <-ctx.Done():
		p.leave(team)
		return nil, nil, ErrUnavailable
	}
	defer func() { <-p.workers }()
	if ctx.Err() != nil {
		return nil, nil, ErrUnavailable // the client has gone
	}
	answer, unpacked, err := encode()
	p.charge(team, unpacked)
	if err != nil {
		return nil, nil, err
	}
	if err := p.hold(team, len(answer)); err != nil {
		return nil, nil, err
	}
	return answer, func() { p.drop(team, len(answer)) }, nil
}

// exhausted reports whether the team has used up its share; p.mu is held.
func (t *teamRenders) exhausted() bool { return t.waiting >= t.maxWaiting || t.bytes.Tokens() <= 0 }

// check fails with errTooManyRequests if the team has used up its share: its request need not be read
// for.
func (p *renderPool) check(team string) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.team(team).exhausted() {
		return errTooManyRequests
	}
	return nil
}

// enter counts a request that waits for a worker.
func (p *renderPool) enter(team string) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	t := p.team(team)
	if t.exhausted() {
		return errTooManyRequests
	}
	t.waiting++
	return nil
}

// leave ends what enter began.
func (p *renderPool) leave(team string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.team(team).waiting--
}

// charge takes unpacked bytes from a team's rate. The size is known only now, so that a team may
// have to wait longer for its next answer.
func (p *renderPool) charge(team string, unpacked int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	t, now := p.team(team), time.Now()
	for unpacked > 0 {
		part := min(unpacked, t.bytes.Burst())
		t.bytes.ReserveN(now, part)
		unpacked -= part
	}
}

// hold counts the bytes of an answer that is being sent. A team may always send one answer.
func (p *renderPool) hold(team string, size int) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	t := p.team(team)
	switch {
	case t.held > 0 && t.held+size > t.maxHeld:
		return errTooManyRequests
	case p.held > 0 && p.held+size > p.limits.HeldBytes:
		return ErrUnavailable
	}
	t.held += size
	p.held += size
	return nil
}

// drop ends what hold began.
func (p *renderPool) drop(team string, size int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.team(team).held -= size
	p.held -= size
}
