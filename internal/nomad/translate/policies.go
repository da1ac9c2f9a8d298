package translate

import (
	"aspenstall/internal/nomad/jobfile"
)

// checkUpdate refuses an update block that asks for a rolling update.
func (t *translator) checkUpdate(u *jobfile.Update, pointer string) {
	if u == nil || t.file.Job.Type != "service" {
		return // by the published rules, update does not apply to batch jobs
	}
	if u.MaxParallel != 0 {
		t.refuse(pointer+"/MaxParallel", "update: max_parallel = %d asks for a step-by-step update; a new version replaces the old one at once, which max_parallel = 0 says", u.MaxParallel)
	}
	if u.Canary != 0 {
		t.refuse(pointer+"/Canary", "update: canaries are not served")
	}
	if u.AutoRevert {
		t.refuse(pointer+"/AutoRevert", "update: auto_revert is not served")
	}
	if u.AutoPromote {
		t.refuse(pointer+"/AutoPromote", "update: auto_promote is not served")
	}
}

// checkReschedule refuses a limited number of attempts.
func (t *translator) checkReschedule(r *jobfile.Reschedule, pointer string) {
	if r != nil && !r.Unlimited {
		t.refuse(pointer+"/Unlimited", "reschedule: a task is tried until it is done; a fixed number of attempts is not served, unlimited = true is")
	}
}

// checkRestart refuses a limited number of attempts.
func (t *translator) checkRestart(r *jobfile.Restart, pointer string) {
	if r != nil && r.Mode != "delay" {
		t.refuse(pointer+"/Mode", "restart: a task is tried until it is done; a fixed number of attempts is not served, mode = \"delay\" is")
	}
}
