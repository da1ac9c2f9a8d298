package translate

import (
	"fmt"
	"io"
	"slices"

	"aspenstall/internal/nomad/jobfile"
)

// Verdict tells how a part of the job file is handled.
type Verdict uint8

// The verdicts.
const (
	Served  Verdict = iota
	Ignored         // has no effect on this scheduler; reported as a warning
	Refused         // would have an effect that is not supported
)

func (v Verdict) String() string { return [...]string{"served", "ignored", "refused"}[v] }

// row is the verdict on one attribute or block, with a reason or an explanation.
type row struct {
	verdict Verdict
	note    string
}

func served(note string) row  { return row{Served, note} }
func ignored(note string) row { return row{Ignored, note} }
func refused(note string) row { return row{Refused, note} }

// Rows of blocks that occur in several places of a job file, by the path below the block.
var (
	constraintRows = map[string]row{
		"":          served("on the attributes below, with `=` or `set_contains_any`; anything else is refused"),
		"attribute": served("`${node.class}` chooses machine types, `${node.datacenter}` the zone"),
		"operator":  served("`=` for one value, `set_contains_any` for several with commas"),
		"value":     served(""),
	}
	affinityRows = map[string]row{
		"":          ignored("a preference: machines are chosen by price and by what they have cached"),
		"attribute": ignored(""), "operator": ignored(""), "value": ignored(""), "weight": ignored(""),
	}
	spreadRows = map[string]row{
		"":               served("over `${node.datacenter}` without targets: at most half of the tasks, rounded up, in one zone"),
		"attribute":      served("`${node.datacenter}` only"),
		"weight":         ignored("the spread always holds"),
		"target":         refused("shares by zone are not kept; leave the targets out"),
		"target.Value":   refused("see target"),
		"target.percent": refused("see target"),
	}
	updateRows = map[string]row{
		"":                  served("a new version replaces the old one at once, so `max_parallel = 0` is what can be served"),
		"max_parallel":      served("0 only (the published default of 1 applies to a block without it, and is refused)"),
		"canary":            served("0 only"),
		"auto_revert":       served("false only"),
		"auto_promote":      served("false only"),
		"stagger":           ignored("nothing is replaced step by step"),
		"health_check":      ignored("nothing is replaced step by step"),
		"min_healthy_time":  ignored("nothing is replaced step by step"),
		"healthy_deadline":  ignored("nothing is replaced step by step"),
		"progress_deadline": ignored("nothing is replaced step by step"),
	}
	migrateRows = map[string]row{
		"":             refused("how tasks leave a machine is the scheduler's: one that has to move is started elsewhere"),
		"max_parallel": refused("see migrate"), "health_check": refused("see migrate"),
		"min_healthy_time": refused("see migrate"), "healthy_deadline": refused("see migrate"),
	}
	restartRows = map[string]row{
		"":                 served("a failed task is tried again, on other machines, until it is done or its job is stopped"),
		"mode":             served("`delay` only: it never gives up (a block without it means the published `fail`, and is refused)"),
		"attempts":         ignored("with mode `delay` they set the pace only, and the pace here backs off by itself"),
		"interval":         ignored("see attempts"),
		"delay":            ignored("see attempts"),
		"render_templates": ignored("there are no templates"),
	}
	rescheduleRows = map[string]row{
		"":          served("a failed task moves to other machines without end"),
		"unlimited": served("true only (in a batch job the published default is false, and is refused)"),
		"attempts":  ignored("with `unlimited` they don't count"), "interval": ignored("see attempts"),
		"delay": ignored("the pace here backs off by itself"), "delay_function": ignored("see delay"), "max_delay": ignored("see delay"),
	}
)

// rows holds the verdict on every attribute and block of the grammar, by path.
var rows = func() map[string]row {
	all := map[string]row{
		"job.id":                      served("the name, unless the block's label gives it; letter for letter, without spaces"),
		"job.name":                    served("shown"),
		"job.region":                  served("`global` only"),
		"job.namespace":               served("the team; `default` is the team whose token is used"),
		"job.type":                    served("`batch` is an array (or a gang, see the meta keys), `service` a service; `system` and `sysbatch` are refused"),
		"job.priority":                served("1 to 24 low, 25 to 74 normal, 75 to 89 high, 90 to 100 production, within the team's cap"),
		"job.all_at_once":             served("false only; a gang is asked for with `aspenstall_gang`"),
		"job.datacenters":             served("zones: one, or a pattern that matches all"),
		"job.node_pool":               served("`default` or `all`"),
		"job.meta":                    served("keys that begin with `aspenstall_` are read, see below; all go to the task"),
		"job.group":                   served("each becomes a native job"),
		"job.Stop":                    served("false only; a job is stopped by deregistering it"),
		"job.ParentID":                refused("children of dispatched and periodic jobs are not served"),
		"job.Payload":                 refused("there is nothing to dispatch"),
		"job.periodic":                refused("jobs are not started by the clock: register one when it is due"),
		"job.parameterized":           refused("jobs are not dispatched: register one for each run, with variables"),
		"job.multiregion":             refused("one region is served"),
		"job.ui":                      ignored("for a console that is not here"),
		"job.vault_token":             refused("there is no Vault"),
		"job.consul_token":            refused("there is no Consul"),
		"job.group.Name":              served("the label"),
		"job.group.count":             served("the number of tasks, 1 to 100,000"),
		"job.group.task":              served("one for each group; several are refused"),
		"job.group.meta":              served("over the job's"),
		"job.group.ephemeral_disk":    served("up to the scratch space that the operators promise"),
		"job.group.shutdown_delay":    served("0 only: a task is told to stop at once"),
		"job.group.max_run_duration":  refused("tasks run until they are done or stopped"),
		"job.group.volume":            refused("machines are rented, and keep nothing"),
		"job.group.network":           refused("ports are not handed out"),
		"job.group.service":           refused("services are not announced anywhere"),
		"job.group.scaling":           refused("the number of tasks is the job's"),
		"job.group.consul":            refused("there is no Consul"),
		"job.group.disconnect":        refused("a silent machine is given up by the scheduler's own clocks"),
		"job.group.task.Name":         served("the label"),
		"job.group.task.driver":       served("goes to the machine with the task's description"),
		"job.group.task.user":         served("goes to the machine with the task's description"),
		"job.group.task.config":       served("goes to the machine with the task's description; `image` is the image, unless `aspenstall_image` names it"),
		"job.group.task.env":          served("goes to the machine with the task's description"),
		"job.group.task.meta":         served("over the group's"),
		"job.group.task.resources":    served("what a task takes of its machine; the published defaults are 100 MHz and 300 MB"),
		"job.group.task.kill_timeout": served("up to `aspenstall_checkpoint_cost_s`, or the published default of 5 s: a task is given as long as it needs to save, and one that does not save ends at once"),
		"job.group.task.kill_signal":  served("goes to the machine with the task's description"),
		"job.group.task.logs":         served("goes to the machine with the task's description"),
		"job.group.task.leader":       ignored("a group has one task"),

		"job.group.task.shutdown_delay":   served("0 only"),
		"job.group.task.kind":             refused("there are no service meshes"),
		"job.group.task.lifecycle":        refused("a group has one task"),
		"job.group.task.service":          refused("services are not announced anywhere"),
		"job.group.task.artifact":         refused("a machine fetches the image and nothing else"),
		"job.group.task.vault":            refused("there is no Vault"),
		"job.group.task.consul":           refused("there is no Consul"),
		"job.group.task.template":         refused("templates are not filled in on the machine"),
		"job.group.task.dispatch_payload": refused("there is nothing to dispatch"),
		"job.group.task.volume_mount":     refused("machines are rented, and keep nothing"),
		"job.group.task.csi_plugin":       refused("machines are rented, and keep nothing"),
		"job.group.task.scaling":          refused("what a task takes is the job's"),
		"job.group.task.secret":           refused("there is no store of secrets"),
		"job.group.task.identity":         refused("tasks get no identities"),
		"job.group.task.action":           refused("nothing is run in a task from outside"),
		"job.group.task.schedule":         refused("tasks are not paused by the clock"),

		"job.group.stop_after_client_disconnect": refused("a machine's lease decides"),
		"job.group.max_client_disconnect":        refused("a machine's lease decides"),
		"job.group.prevent_reschedule_on_lost":   served("false only: a lost machine's work starts elsewhere"),

		"job.group.ephemeral_disk.size":    served("MB, up to the operators' `:scratch-mb`"),
		"job.group.ephemeral_disk.sticky":  served("false only: nothing outlasts its machine"),
		"job.group.ephemeral_disk.migrate": served("false only: nothing outlasts its machine"),

		"job.group.task.logs.max_files":     served(""),
		"job.group.task.logs.max_file_size": served(""),
		"job.group.task.logs.enabled":       served(""),
		"job.group.task.logs.disabled":      served(""),

		"job.group.task.resources.cpu":        served("MHz; the operators' `:mhz-per-cpu` (1000) are one CPU"),
		"job.group.task.resources.cores":      served("CPUs; not together with cpu"),
		"job.group.task.resources.memory":     served("MB, 1024 to a GB"),
		"job.group.task.resources.memory_max": served("as much as memory, or left out: memory is not lent"),
		"job.group.task.resources.disk":       served("MB, up to the operators' `:scratch-mb`"),
		"job.group.task.resources.iops":       refused("input and output are not booked"),
		"job.group.task.resources.secrets":    refused("there is no store of secrets"),
		"job.group.task.resources.network":    refused("ports are not handed out"),
		"job.group.task.resources.numa":       refused("the layout of a machine's processors is not looked at"),
		"job.group.task.resources.device":     served("GPUs, under the names in the operators' `:gpu-devices`"),

		"job.group.task.resources.device.Name":  served("the label"),
		"job.group.task.resources.device.count": served(""),
	}
	add := func(parts map[string]row, under ...string) {
		for _, u := range under {
			for name, r := range parts {
				if name != "" {
					name = "." + name
				}
				all[u+name] = r
			}
		}
	}
	const device = "job.group.task.resources.device"
	add(constraintRows, "job.constraint", "job.group.constraint", "job.group.task.constraint")
	add(map[string]row{"": refused("a GPU is one of its machine's type: choose the type"), "attribute": refused("see constraint"),
		"operator": refused("see constraint"), "value": refused("see constraint")}, device+".constraint")
	add(affinityRows, "job.affinity", "job.group.affinity", "job.group.task.affinity", device+".affinity")
	add(spreadRows, "job.spread", "job.group.spread")
	add(updateRows, "job.update", "job.group.update")
	add(migrateRows, "job.migrate", "job.group.migrate")
	add(restartRows, "job.group.restart", "job.group.task.restart")
	add(rescheduleRows, "job.reschedule", "job.group.reschedule")
	return all
}()

// WriteTable writes the verdicts as a table in Markdown, in the order of the grammar.
func WriteTable(w io.Writer) error {
	if _, err := fmt.Fprint(w, "| in the job file | | |\n| --- | --- | --- |\n"); err != nil {
		return err
	}
	for _, path := range jobfile.Paths() {
		r := rows[path]
		if _, err := fmt.Fprintf(w, "| `%s` | %s | %s |\n", path, r.verdict, r.note); err != nil {
			return err
		}
	}
	return nil
}

// MetaKeys lists the keys of meta that are read, sorted and without MetaPrefix.
func MetaKeys() []string {
	out := []string{}
	for k := range metaKeys {
		out = append(out, k)
	}
	slices.Sort(out)
	return out
}

// HasVerdict reports whether there is a verdict on a path of the job file.
func HasVerdict(path string) bool {
	_, ok := rows[path]
	return ok
}
