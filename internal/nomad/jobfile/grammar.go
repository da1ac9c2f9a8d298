package jobfile

// kind is what an item of a job file holds.
type kind uint8

const (
	text   kind = iota
	whole       // a whole number within lo and hi
	flag        // true or false
	span        // a duration: "30s", or nanoseconds in the JSON form
	texts       // a list of text
	table       // texts by name; a block or an attribute
	free        // anything by name; a block or an attribute
	one         // a block
	many        // blocks, a list in the JSON form
	opaque      // known by name only
	server      // in the JSON form only, written by servers: not read
)

// item is an attribute or block of a body.
type item struct {
	hcl    string // in the job file; "" if only the JSON form has it
	field  string // in the JSON form
	kind   kind
	lo, hi int64
	words  []string // the only texts allowed
	body   *body    // of blocks
}

func (i *item) name() string {
	if i.hcl == "" {
		return i.field
	}
	return i.hcl
}

// body is what a block holds.
type body struct {
	items []item
	label string              // the field that takes the block's label
	fix   func(*walker, *fix) // what HCL writes in another way than JSON
}

func (b *body) byHCL(name string) *item {
	for i := range b.items {
		if b.items[i].hcl == name {
			return &b.items[i]
		}
	}
	return nil
}

const (
	anyCount  = 1 << 31
	maxWeight = 100
)

func attr(hcl, field string, k kind) item { return item{hcl: hcl, field: field, kind: k} }

func number(hcl, field string, lo, hi int64) item {
	return item{hcl: hcl, field: field, kind: whole, lo: lo, hi: hi}
}

func word(hcl, field string, words ...string) item {
	return item{hcl: hcl, field: field, kind: text, words: words}
}

func block(hcl, field string, b *body) item {
	return item{hcl: hcl, field: field, kind: one, body: b}
}

func blocks(hcl, field string, b *body) item {
	return item{hcl: hcl, field: field, kind: many, body: b}
}

// unread are items known by name only.
func unread(names ...[2]string) []item {
	var out []item
	for _, n := range names {
		out = append(out, item{hcl: n[0], field: n[1], kind: opaque})
	}
	return out
}

// written are fields that servers write and clients send back.
func written(fields ...string) []item {
	var out []item
	for _, f := range fields {
		out = append(out, item{field: f, kind: server})
	}
	return out
}

func with(items []item, more ...[]item) []item {
	for _, m := range more {
		items = append(items, m...)
	}
	return items
}

var constraintBody = &body{fix: shorthand, items: []item{
	attr("attribute", "LTarget", text), attr("operator", "Operand", text), attr("value", "RTarget", text),
}}

var affinityBody = &body{fix: shorthand, items: []item{
	attr("attribute", "LTarget", text), attr("operator", "Operand", text), attr("value", "RTarget", text),
	number("weight", "Weight", -maxWeight, maxWeight),
}}

var spreadBody = &body{items: []item{
	attr("attribute", "Attribute", text), number("weight", "Weight", 0, maxWeight),
	blocks("target", "SpreadTarget", &body{label: "Value", items: []item{
		{field: "Value", kind: text}, number("percent", "Percent", 0, 100),
	}}),
}}

var updateBody = &body{items: []item{
	attr("stagger", "Stagger", span), number("max_parallel", "MaxParallel", 0, anyCount),
	word("health_check", "HealthCheck", "checks", "task_states", "manual"),
	attr("min_healthy_time", "MinHealthyTime", span), attr("healthy_deadline", "HealthyDeadline", span),
	attr("progress_deadline", "ProgressDeadline", span), number("canary", "Canary", 0, anyCount),
	attr("auto_revert", "AutoRevert", flag), attr("auto_promote", "AutoPromote", flag),
}}

var migrateBody = &body{items: []item{
	number("max_parallel", "MaxParallel", 0, anyCount), word("health_check", "HealthCheck", "checks", "task_states"),
	attr("min_healthy_time", "MinHealthyTime", span), attr("healthy_deadline", "HealthyDeadline", span),
}}

var restartBody = &body{items: []item{
	attr("interval", "Interval", span), number("attempts", "Attempts", 0, anyCount), attr("delay", "Delay", span),
	word("mode", "Mode", "delay", "fail"), attr("render_templates", "RenderTemplates", flag),
}}

var rescheduleBody = &body{items: []item{
	number("attempts", "Attempts", 0, anyCount), attr("interval", "Interval", span), attr("delay", "Delay", span),
	word("delay_function", "DelayFunction", "constant", "exponential", "fibonacci"),
	attr("max_delay", "MaxDelay", span), attr("unlimited", "Unlimited", flag),
}}

var resourcesBody = &body{items: with([]item{
	number("cpu", "CPU", 0, anyCount), number("cores", "Cores", 0, anyCount),
	number("memory", "MemoryMB", 0, anyCount), number("memory_max", "MemoryMaxMB", 0, anyCount),
	number("disk", "DiskMB", 0, anyCount), number("iops", "IOPS", 0, anyCount), number("secrets", "SecretsMB", 0, anyCount),
	blocks("device", "Devices", &body{label: "Name", items: []item{
		{field: "Name", kind: text}, number("count", "Count", 0, 128),
		blocks("constraint", "Constraints", constraintBody), blocks("affinity", "Affinities", affinityBody),
	}}),
}, unread([2]string{"network", "Networks"}, [2]string{"numa", "NUMA"}))}

var taskBody = &body{label: "Name", items: with([]item{
	{field: "Name", kind: text},
	attr("driver", "Driver", text), attr("user", "User", text),
	attr("config", "Config", free), attr("env", "Env", table), attr("meta", "Meta", table),
	block("resources", "Resources", resourcesBody),
	blocks("constraint", "Constraints", constraintBody), blocks("affinity", "Affinities", affinityBody),
	block("restart", "RestartPolicy", restartBody),
	attr("kill_timeout", "KillTimeout", span), attr("kill_signal", "KillSignal", text),
	attr("shutdown_delay", "ShutdownDelay", span), attr("leader", "Leader", flag), attr("kind", "Kind", text),
	block("logs", "LogConfig", &body{items: []item{
		number("max_files", "MaxFiles", 1, anyCount), number("max_file_size", "MaxFileSizeMB", 1, anyCount),
		attr("enabled", "Enabled", flag), attr("disabled", "Disabled", flag),
	}}),
}, unread([2]string{"lifecycle", "Lifecycle"}, [2]string{"service", "Services"}, [2]string{"artifact", "Artifacts"},
	[2]string{"vault", "Vault"}, [2]string{"consul", "Consul"}, [2]string{"template", "Templates"},
	[2]string{"dispatch_payload", "DispatchPayload"}, [2]string{"volume_mount", "VolumeMounts"},
	[2]string{"csi_plugin", "CSIPluginConfig"}, [2]string{"scaling", "ScalingPolicies"}, [2]string{"secret", "Secrets"},
	[2]string{"identity", "Identities"}, [2]string{"action", "Actions"}, [2]string{"schedule", "Schedule"}),
	written("Identity"))}

var groupBody = &body{label: "Name", items: with([]item{
	{field: "Name", kind: text},
	number("count", "Count", 0, anyCount),
	blocks("constraint", "Constraints", constraintBody), blocks("affinity", "Affinities", affinityBody),
	blocks("spread", "Spreads", spreadBody), blocks("task", "Tasks", taskBody),
	block("restart", "RestartPolicy", restartBody), block("reschedule", "ReschedulePolicy", rescheduleBody),
	block("update", "Update", updateBody), block("migrate", "Migrate", migrateBody),
	attr("meta", "Meta", table),
	block("ephemeral_disk", "EphemeralDisk", &body{items: []item{
		attr("sticky", "Sticky", flag), attr("migrate", "Migrate", flag), number("size", "SizeMB", 0, anyCount),
	}}),
	attr("shutdown_delay", "ShutdownDelay", span), attr("max_run_duration", "MaxRunDuration", span),
	attr("stop_after_client_disconnect", "StopAfterClientDisconnect", span),
	attr("max_client_disconnect", "MaxClientDisconnect", span),
	attr("prevent_reschedule_on_lost", "PreventRescheduleOnLost", flag),
}, unread([2]string{"volume", "Volumes"}, [2]string{"network", "Networks"}, [2]string{"service", "Services"},
	[2]string{"scaling", "Scaling"}, [2]string{"consul", "Consul"}, [2]string{"disconnect", "Disconnect"}))}

var jobBody = &body{label: "ID", items: with([]item{
	attr("id", "ID", text), attr("name", "Name", text),
	attr("region", "Region", text), attr("namespace", "Namespace", text),
	word("type", "Type", "service", "batch", "system", "sysbatch"),
	number("priority", "Priority", 1, 100), attr("all_at_once", "AllAtOnce", flag),
	attr("datacenters", "Datacenters", texts), attr("node_pool", "NodePool", text),
	blocks("constraint", "Constraints", constraintBody), blocks("affinity", "Affinities", affinityBody),
	blocks("spread", "Spreads", spreadBody), blocks("group", "TaskGroups", groupBody),
	block("update", "Update", updateBody), block("migrate", "Migrate", migrateBody),
	block("reschedule", "Reschedule", rescheduleBody), attr("meta", "Meta", table),
	{field: "Stop", kind: flag}, {field: "ParentID", kind: text}, {field: "Payload", kind: text},
}, unread([2]string{"periodic", "Periodic"}, [2]string{"parameterized", "ParameterizedJob"},
	[2]string{"multiregion", "Multiregion"}, [2]string{"ui", "UI"},
	[2]string{"vault_token", "VaultToken"}, [2]string{"consul_token", "ConsulToken"}),
	written("Dispatched", "DispatchIdempotencyToken", "ConsulNamespace", "VaultNamespace", "NomadTokenID", "Status",
		"StatusDescription", "Stable", "Version", "SubmitTime", "CreateIndex", "ModifyIndex", "JobModifyIndex", "VersionTag"))}
