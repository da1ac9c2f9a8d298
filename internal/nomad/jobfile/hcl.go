package jobfile

import (
	"encoding/json"
	"fmt"
	"maps"
	"math/big"
	"slices"
	"strconv"
	"time"

	"github.com/hashicorp/hcl/v2"
	"github.com/hashicorp/hcl/v2/ext/typeexpr"
	"github.com/hashicorp/hcl/v2/hclsyntax"
	"github.com/zclconf/go-cty/cty"
	"github.com/zclconf/go-cty/cty/convert"
	"github.com/zclconf/go-cty/cty/function"
)

// walker turns the HCL form into the JSON form.
type walker struct {
	f     *File
	b     *budget
	funcs map[string]function.Function
	ps    Problems
}

func (w *walker) fail(pos Pos, format string, args ...any) {
	w.ps = append(w.ps, problemf(pos, format, args...))
}

// parseBody reads HCL on a budget.
func parseBody(name string, src []byte, b *budget) (*hclsyntax.Body, Problems) {
	if p, bad := unreadable(name, src); bad {
		return nil, Problems{p}
	}
	file, diags := hclsyntax.ParseConfig(src, name, hcl.InitialPos)
	if diags.HasErrors() {
		return nil, problems(diags)
	}
	body := file.Body.(*hclsyntax.Body)
	(&instrument{src, b}).body(body)
	return body, nil
}

func (f *File) readHCL(src []byte, o Options) Problems {
	w := &walker{f: f, b: &budget{steps: maxSteps, bytes: maxBytes}}
	w.funcs = functions(w.b)
	body, ps := parseBody(f.Name, src, w.b)
	if ps != nil {
		return ps
	}
	for _, a := range sorted(body.Attributes) {
		w.fail(position(a.NameRange), "%s: no such attribute outside of a job", a.Name)
	}
	var jobs, variables, locals hclsyntax.Blocks
	for _, b := range body.Blocks {
		switch b.Type {
		case "job":
			jobs = append(jobs, b)
		case "variable":
			variables = append(variables, b)
		case "variables", "locals":
			locals = append(locals, b)
		default:
			w.fail(position(b.TypeRange), "%s: no such block outside of a job", b.Type)
		}
	}
	ctx := &hcl.EvalContext{Functions: w.funcs, Variables: map[string]cty.Value{}}
	ctx.Variables["var"] = w.variables(variables, locals, o)
	w.locals(locals, ctx)
	switch {
	case len(jobs) == 0:
		w.fail(Pos{File: f.Name}, "no job block")
	case len(jobs) > 1:
		w.fail(position(jobs[1].TypeRange), "a file holds one job; this is the second")
	default:
		f.doc = w.block(jobs[0].AsHCLBlock(), jobs[0].Body, jobBody, ctx, "")
	}
	return w.ps
}

// variables works out the values of the file's variables.
func (w *walker) variables(declared, groups hclsyntax.Blocks, o Options) cty.Value {
	type variable struct {
		pos   Pos
		ty    cty.Type
		value cty.Value
	}
	vars := map[string]*variable{}
	declare := func(name string, pos Pos, v *variable) {
		if vars[name] != nil {
			w.fail(pos, "variable %q is declared twice", name)
			return
		}
		vars[name] = v
	}
	constant := &hcl.EvalContext{Functions: w.funcs}
	for _, b := range declared {
		pos := position(b.TypeRange)
		if len(b.Labels) != 1 {
			w.fail(pos, "a variable has one name")
			continue
		}
		v := &variable{pos: pos, ty: cty.DynamicPseudoType, value: cty.NilVal}
		for _, a := range sorted(b.Body.Attributes) {
			switch a.Name {
			case "type":
				ty, diags := typeexpr.TypeConstraint(a.Expr)
				w.ps = append(w.ps, problems(diags)...)
				v.ty = ty
			case "default":
				v.value = w.eval((&instrument{nil, w.b}).expr(a.Expr, nil), constant)
			case "description", "sensitive", "nullable":
			default:
				w.fail(position(a.NameRange), "%s: no such attribute of a variable", a.Name)
			}
		}
		for _, k := range b.Body.Blocks {
			if k.Type != "validation" {
				w.fail(position(k.TypeRange), "%s: no such block of a variable", k.Type)
			} else {
				w.fail(position(k.TypeRange), "validation of variables is not served: check the values in the job")
			}
		}
		declare(b.Labels[0], pos, v)
	}
	for _, b := range groups {
		if b.Type != "variables" {
			continue
		}
		for _, a := range sorted(b.Body.Attributes) {
			declare(a.Name, position(a.NameRange), &variable{position(a.NameRange), cty.DynamicPseudoType, w.eval(a.Expr, constant)})
		}
	}
	give := func(name, from string, pos Pos, value cty.Value) {
		v := vars[name]
		if v == nil {
			w.fail(pos, "%s: the job file declares no variable %q", from, name)
			return
		}
		v.value = value
	}
	for _, file := range o.VarFiles {
		body, ps := parseBody(file.Name, file.Source, w.b)
		w.ps = append(w.ps, ps...)
		if body == nil {
			continue
		}
		for _, a := range sorted(body.Attributes) {
			give(a.Name, file.Name, position(a.NameRange), w.eval(a.Expr, constant))
		}
	}
	for _, name := range slices.Sorted(maps.Keys(o.Vars)) {
		pos, given := Pos{File: "variable " + name}, o.Vars[name]
		value := cty.StringVal(given)
		if v := vars[name]; v != nil && v.ty != cty.String && !v.ty.IsPrimitiveType() && v.ty != cty.DynamicPseudoType {
			if p, bad := unreadable(pos.File, []byte(given)); bad {
				w.ps = append(w.ps, p)
				continue
			}
			expr, diags := hclsyntax.ParseExpression([]byte(given), pos.File, hcl.InitialPos)
			if diags.HasErrors() {
				w.fail(pos, "want a value of type %s", typeexpr.TypeString(v.ty))
				continue
			}
			value = w.eval((&instrument{[]byte(given), w.b}).expr(expr, nil), constant)
		}
		give(name, "given", pos, value)
	}
	values := map[string]cty.Value{}
	for _, name := range slices.Sorted(maps.Keys(vars)) {
		v := vars[name]
		values[name] = cty.DynamicVal
		if v.value == cty.NilVal {
			w.fail(v.pos, "variable %q has no default, and no value was given", name)
			continue
		}
		value, err := convert.Convert(v.value, v.ty)
		if err != nil {
			w.fail(v.pos, "variable %q: %v", name, err)
			continue
		}
		values[name] = value
	}
	return cty.ObjectVal(values)
}

// locals works out the locals, in whatever order they need one another, and
// adds them to ctx.
func (w *walker) locals(groups hclsyntax.Blocks, ctx *hcl.EvalContext) {
	open := map[string]*hclsyntax.Attribute{}
	for _, b := range groups {
		if b.Type != "locals" {
			continue
		}
		for _, a := range sorted(b.Body.Attributes) {
			if open[a.Name] != nil {
				w.fail(position(a.NameRange), "local %q is given twice", a.Name)
			}
			open[a.Name] = a
		}
	}
	values := map[string]cty.Value{}
	for len(open) > 0 {
		ready := 0
		for _, name := range slices.Sorted(maps.Keys(open)) {
			a, waits := open[name], false
			for _, n := range localNames(a.Expr) {
				waits = waits || open[n] != nil
			}
			if waits {
				continue
			}
			ctx.Variables["local"] = cty.ObjectVal(values)
			values[name] = w.eval(a.Expr, ctx)
			delete(open, name)
			ready++
		}
		if ready == 0 {
			for _, name := range slices.Sorted(maps.Keys(open)) {
				w.fail(position(open[name].NameRange), "local %q needs itself", name)
				values[name] = cty.DynamicVal
			}
			break
		}
	}
	ctx.Variables["local"] = cty.ObjectVal(values)
}

// localNames lists the locals that an expression needs.
func localNames(e hclsyntax.Expression) []string {
	var out []string
	_ = hclsyntax.VisitAll(e, func(n hclsyntax.Node) hcl.Diagnostics {
		if c, ok := n.(*counted); ok {
			n = c.Expression
		}
		if t, ok := n.(*hclsyntax.ScopeTraversalExpr); ok && t.Traversal.RootName() == "local" && len(t.Traversal) > 1 {
			if a, ok := t.Traversal[1].(hcl.TraverseAttr); ok {
				out = append(out, a.Name)
			}
		}
		return nil
	})
	return out
}

// eval works out an expression; what is wrong with it is noted.
func (w *walker) eval(e hclsyntax.Expression, ctx *hcl.EvalContext) cty.Value {
	v, diags := e.Value(ctx)
	if diags.HasErrors() {
		w.ps = append(w.ps, problems(diags)...)
		return cty.DynamicVal
	}
	if !w.b.charge(v) {
		w.over(position(e.Range()))
		return cty.DynamicVal
	}
	return v
}

func (w *walker) over(pos Pos) {
	if !w.b.told {
		w.b.told = true
		w.fail(pos, "%v", errBudget)
	}
}

func sorted(attrs hclsyntax.Attributes) []*hclsyntax.Attribute {
	out := slices.Collect(maps.Values(attrs))
	slices.SortFunc(out, func(a, b *hclsyntax.Attribute) int { return a.NameRange.Start.Byte - b.NameRange.Start.Byte })
	return out
}

// block reads a block of a known body.
func (w *walker) block(head *hcl.Block, from *hclsyntax.Body, b *body, ctx *hcl.EvalContext, pointer string) map[string]any {
	pos := position(head.TypeRange)
	w.f.at[pointer] = pos
	out := map[string]any{}
	switch {
	case b.label == "" && len(head.Labels) > 0:
		w.fail(pos, "%s: takes no name", head.Type)
	case b.label != "" && len(head.Labels) != 1:
		w.fail(pos, "%s: wants one name", head.Type)
	case b.label != "":
		out[b.label] = head.Labels[0]
		w.f.at[pointer+"/"+b.label] = pos
		if len(head.LabelRanges) > 0 {
			w.f.at[pointer+"/"+b.label] = position(head.LabelRanges[0])
		}
	}
	w.body(head.Type, from, b, ctx, pointer, out)
	return out
}

func (w *walker) body(in string, from *hclsyntax.Body, b *body, ctx *hcl.EvalContext, pointer string, out map[string]any) {
	fx := &fix{from: from.Attributes, ctx: ctx, out: out, pointer: pointer}
	if b.fix != nil {
		b.fix(w, fx)
	}
	for _, a := range sorted(from.Attributes) {
		if fx.taken[a.Name] {
			continue
		}
		it := b.byHCL(a.Name)
		pos := position(a.NameRange)
		if it == nil || it.kind == one || it.kind == many {
			w.fail(pos, "%s: no such attribute of %s", a.Name, in)
			continue
		}
		ptr := pointer + "/" + escape(it.field)
		w.f.at[ptr] = pos
		if it.kind == opaque {
			out[it.field] = map[string]any{}
			continue
		}
		if v, ok := w.value(it, w.eval(a.Expr, ctx), pos, ptr); ok {
			out[it.field] = v
		}
	}
	for _, k := range from.Blocks {
		w.child(in, k.AsHCLBlock(), k.Body, b, ctx, pointer, out)
	}
}

// child reads a block within another one.
func (w *walker) child(in string, head *hcl.Block, from *hclsyntax.Body, b *body, ctx *hcl.EvalContext, pointer string, out map[string]any) {
	pos := position(head.TypeRange)
	if !w.b.spend(1, 0) {
		w.over(pos)
		return
	}
	if head.Type == "dynamic" {
		w.dynamic(in, head, from, b, ctx, pointer, out)
		return
	}
	it := b.byHCL(head.Type)
	if it == nil {
		w.fail(pos, "%s: no such block of %s", head.Type, in)
		return
	}
	ptr := pointer + "/" + escape(it.field)
	old := out[it.field]
	if _, ok := w.f.at[ptr]; !ok {
		w.f.at[ptr] = pos
	}
	switch it.kind {
	case many:
		list, _ := old.([]any)
		out[it.field] = append(list, w.block(head, from, it.body, ctx, fmt.Sprintf("%s/%d", ptr, len(list))))
	case one:
		if old != nil {
			w.fail(pos, "%s: given twice", head.Type)
			return
		}
		out[it.field] = w.block(head, from, it.body, ctx, ptr)
	case free, table:
		if old != nil || len(head.Labels) > 0 {
			w.fail(pos, "%s: given twice, or with a name", head.Type)
			return
		}
		w.f.at[ptr] = pos
		m := w.open(from, ctx, ptr)
		if it.kind == table {
			for k, v := range m {
				s, ok := asText(v)
				if !ok {
					w.fail(w.f.At(ptr+"/"+escape(k)), "%s: want a text", k)
				}
				m[k] = s
			}
		}
		out[it.field] = m
	case opaque:
		out[it.field] = map[string]any{}
	default:
		w.fail(pos, "%s: is an attribute, not a block", head.Type)
	}
}

// open reads a block that may hold anything.
func (w *walker) open(from *hclsyntax.Body, ctx *hcl.EvalContext, pointer string) map[string]any {
	out := map[string]any{}
	for _, a := range sorted(from.Attributes) {
		ptr := pointer + "/" + escape(a.Name)
		w.f.at[ptr] = position(a.NameRange)
		if v := plain(w.eval(a.Expr, ctx)); v != nil {
			out[a.Name] = v
		}
	}
	for _, k := range from.Blocks {
		ptr := pointer + "/" + escape(k.Type)
		if _, ok := w.f.at[ptr]; !ok {
			w.f.at[ptr] = position(k.TypeRange)
		}
		if k.Type == "dynamic" {
			w.fail(position(k.TypeRange), "dynamic: not served where anything may stand")
			continue
		}
		list, _ := out[k.Type].([]any)
		m := w.open(k.Body, ctx, fmt.Sprintf("%s/%d", ptr, len(list)))
		for _, l := range slices.Backward(k.Labels) {
			m = map[string]any{l: m}
		}
		out[k.Type] = append(list, m)
	}
	return out
}

// dynamic makes a block for each element of a collection.
func (w *walker) dynamic(in string, head *hcl.Block, from *hclsyntax.Body, b *body, ctx *hcl.EvalContext, pointer string, out map[string]any) {
	pos := position(head.TypeRange)
	if len(head.Labels) != 1 {
		w.fail(pos, "dynamic: wants the name of one block")
		return
	}
	var content *hclsyntax.Block
	for _, k := range from.Blocks {
		if k.Type != "content" || content != nil {
			w.fail(position(k.TypeRange), "dynamic: holds one content block")
			return
		}
		content = k
	}
	each := from.Attributes["for_each"]
	if content == nil || each == nil {
		w.fail(pos, "dynamic: wants for_each and a content block")
		return
	}
	name := head.Labels[0]
	labels := from.Attributes["labels"]
	for _, a := range sorted(from.Attributes) {
		switch a.Name {
		case "for_each", "labels":
		case "iterator":
			t, diags := hcl.AbsTraversalForExpr(unwrap(a.Expr))
			if diags.HasErrors() || len(t) != 1 {
				w.fail(position(a.NameRange), "iterator: want a name")
				return
			}
			name = t.RootName()
		default:
			w.fail(position(a.NameRange), "%s: no such attribute of dynamic", a.Name)
		}
	}
	v := w.eval(each.Expr, ctx)
	if !v.IsKnown() {
		return
	}
	if v.IsNull() || !v.CanIterateElements() {
		w.fail(position(each.NameRange), "for_each: want a list, a set or a map")
		return
	}
	for it := v.ElementIterator(); it.Next(); {
		key, value := it.Element()
		inner := ctx.NewChild()
		inner.Variables = map[string]cty.Value{name: cty.ObjectVal(map[string]cty.Value{"key": key, "value": value})}
		made := &hcl.Block{Type: head.Labels[0], TypeRange: content.TypeRange}
		if labels != nil {
			list, err := convert.Convert(w.eval(labels.Expr, inner), cty.List(cty.String))
			if err != nil || !list.IsWhollyKnown() || list.IsNull() {
				w.fail(position(labels.NameRange), "labels: want a list of texts")
				return
			}
			for l := list.ElementIterator(); l.Next(); {
				_, s := l.Element()
				made.Labels = append(made.Labels, s.AsString())
				made.LabelRanges = append(made.LabelRanges, labels.NameRange)
			}
		}
		if made.Type == "dynamic" {
			w.fail(pos, "dynamic: no such block of %s", in)
			return
		}
		w.child(in, made, content.Body, b, inner, pointer, out)
	}
}

func unwrap(e hclsyntax.Expression) hclsyntax.Expression {
	if c, ok := e.(*counted); ok {
		return c.Expression
	}
	return e
}

// value brings a value into the form that an item has in JSON.
func (w *walker) value(it *item, v cty.Value, pos Pos, pointer string) (any, bool) {
	if !v.IsWhollyKnown() || v.IsNull() {
		return nil, false // noted already, or left out
	}
	want := map[kind]cty.Type{
		text: cty.String, whole: cty.Number, flag: cty.Bool, texts: cty.List(cty.String),
		span: cty.String, table: cty.Map(cty.String),
	}
	ty, ok := want[it.kind]
	if !ok { // free
		m, ok := plain(v).(map[string]any)
		if !ok {
			w.fail(pos, "%s: want a map", it.hcl)
			return nil, false
		}
		for k := range m {
			w.f.at[pointer+"/"+escape(k)] = pos
		}
		return m, true
	}
	c, err := convert.Convert(v, ty)
	if err != nil {
		w.fail(pos, "%s: %v", it.hcl, err)
		return nil, false
	}
	if it.kind == span {
		ns, ok := duration(c.AsString(), v.Type() == cty.Number)
		if !ok {
			w.fail(pos, "%s: want a duration such as \"30s\" or \"1h30m\", not %q", it.hcl, c.AsString())
			return nil, false
		}
		return ns, true
	}
	return plain(c), true
}

// duration reads a duration: with a unit, or bare nanoseconds.
func duration(s string, bare bool) (json.Number, bool) {
	if bare {
		n, err := strconv.ParseInt(s, 10, 64)
		return json.Number(s), err == nil && n >= 0
	}
	d, err := time.ParseDuration(s)
	return json.Number(strconv.FormatInt(int64(d), 10)), err == nil && d >= 0
}

// plain is a value as JSON has it; nil for null.
func plain(v cty.Value) any {
	if !v.IsKnown() || v.IsNull() {
		return nil
	}
	switch ty := v.Type(); {
	case ty == cty.String:
		return v.AsString()
	case ty == cty.Bool:
		return v.True()
	case ty == cty.Number:
		return number10(v.AsBigFloat())
	case ty.IsObjectType() || ty.IsMapType():
		m := map[string]any{}
		for it := v.ElementIterator(); it.Next(); {
			k, e := it.Element()
			if p := plain(e); p != nil {
				m[k.AsString()] = p
			}
		}
		return m
	case ty.IsTupleType() || ty.IsListType() || ty.IsSetType():
		list := []any{}
		for it := v.ElementIterator(); it.Next(); {
			_, e := it.Element()
			list = append(list, plain(e))
		}
		return list
	}
	return nil
}

// number10 writes a number in decimal, a large one with an exponent.
func number10(f *big.Float) json.Number {
	if f.IsInt() && f.MantExp(nil) < 64 {
		return json.Number(f.Text('f', 0))
	}
	return json.Number(f.Text('g', 17))
}

func asText(v any) (string, bool) {
	switch v := v.(type) {
	case string:
		return v, true
	case json.Number:
		return v.String(), true
	case bool:
		return strconv.FormatBool(v), true
	}
	return "", false
}

// fix brings what HCL writes in a shorter way into the JSON form.
type fix struct {
	from    hclsyntax.Attributes
	ctx     *hcl.EvalContext
	out     map[string]any
	pointer string
	taken   map[string]bool
}

// shorthand reads the short forms of a constraint, such as distinct_hosts = true.
func shorthand(w *walker, f *fix) {
	f.taken = map[string]bool{}
	for _, a := range sorted(f.from) {
		switch a.Name {
		case "distinct_hosts", "distinct_property", "is_set", "is_not_set", "regexp", "set_contains", "set_contains_all", "set_contains_any", "semver", "version":
		default:
			continue
		}
		f.taken[a.Name] = true
		pos := position(a.NameRange)
		w.f.at[f.pointer+"/Operand"] = pos
		v, err := convert.Convert(w.eval(a.Expr, f.ctx), cty.String)
		if err != nil || !v.IsKnown() || v.IsNull() {
			w.fail(pos, "%s: want a text", a.Name)
			continue
		}
		if f.out["Operand"] != nil {
			w.fail(pos, "%s: a constraint has one operator", a.Name)
		}
		f.out["Operand"] = a.Name
		switch a.Name {
		case "distinct_hosts", "is_set", "is_not_set":
		case "distinct_property":
			f.out["LTarget"] = v.AsString()
		default:
			f.out["RTarget"] = v.AsString()
		}
	}
}
