package scale

import (
	"context"
	"syscall"
	"time"

	"aspenstall/internal/wait"
)

// A controller with a share of a core is stopped while it has used more processor time than the share
// gives it. It may save up a little for bursts, as platforms allow.
const (
	throttleInterval = 10 * time.Millisecond
	throttleBurst    = 100 * time.Millisecond // of processor time
)

// cpuBudget is the processor time that a process may use: a token bucket.
type cpuBudget struct {
	share float64 // of a core
	left  time.Duration
}

// spend adds what the share gives in an interval and takes what was used in it. It reports whether the
// process may run.
func (b *cpuBudget) spend(interval, used time.Duration) bool {
	b.left = min(b.left+time.Duration(b.share*float64(interval)), throttleBurst) - used
	return b.left > 0
}

// throttle keeps the controller's processes to a share of a core until ctx ends.
func (c *controller) throttle(ctx context.Context, share float64) {
	budget := cpuBudget{share: share, left: throttleBurst}
	pid, usedBefore, stopped, last := 0, time.Duration(0), false, time.Now()
	for wait.For(ctx, throttleInterval) {
		now := time.Now()
		interval := now.Sub(last)
		last = now
		running := c.runningPID()
		used, ok := processorTime(running)
		if running != pid || !ok {
			pid, usedBefore, stopped = running, used, false // another process, or none
			continue
		}
		mayRun := budget.spend(interval, used-usedBefore)
		usedBefore = used
		switch {
		case stopped && mayRun:
			c.signal(pid, syscall.SIGCONT)
		case !stopped && !mayRun:
			c.signal(pid, syscall.SIGSTOP)
		}
		stopped = !mayRun
	}
}

// signal sends a signal to the process with an ID if it is the present one, and not reaped.
func (c *controller) signal(pid int, s syscall.Signal) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.pid == pid && pid != 0 {
		_ = syscall.Kill(pid, s)
	}
}

// processorTime returns the processor time that a process has used, and whether it is known.
func processorTime(pid int) (time.Duration, bool) {
	if pid == 0 {
		return 0, false
	}
	_, stat, err := processStat(pid)
	if err != nil {
		return 0, false
	}
	return time.Duration(stat.CPUTime() * float64(time.Second)), true
}
