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

// hclDecoder converts the HCL form to the JSON form.
type hclDecoder struct {
	file      *File
	budget    *budget
	functions map[string]function.Function
	problems  Problems
}

// addProblem adds a problem at a position.
func (w *hclDecoder) addProblem(pos Pos, format string, args ...any) {
	w.problems = append(w.problems, problemf(pos, format, args...))
}

// parseHCLBody parses HCL and makes its expressions metered.
func parseHCLBody(name string, src []byte, b *budget) (*hclsyntax.Body, Problems) {
	if p, bad := checkTokens(name, src); bad {
		return nil, Problems{p}
	}
	file, diags := hclsyntax.ParseConfig(src, name, hcl.InitialPos)
	if diags.HasErrors() {
		return nil, problemsOf(diags)
	}
	body := file.Body.(*hclsyntax.Body)
	(&instrumenter{src, b}).instrumentBody(body)
	return body, nil
}

// readHCL reads a job file in HCL.
func (f *File) readHCL(src []byte, o Options) Problems {
	w := &hclDecoder{file: f, budget: &budget{steps: maxEvalSteps, bytes: maxEvalBytes}}
	w.functions = meteredFunctions(w.budget)
	body, ps := parseHCLBody(f.Name, src, w.budget)
	if ps != nil {
		return ps
	}
	for _, a := range sortedAttributes(body.Attributes) {
		w.addProblem(posOf(a.NameRange), "%s: no such attribute outside of a job", a.Name)
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
			w.addProblem(posOf(b.TypeRange), "%s: no such block outside of a job", b.Type)
		}
	}
	ctx := &hcl.EvalContext{Functions: w.functions, Variables: map[string]cty.Value{}}
	ctx.Variables["var"] = w.evalVariables(variables, locals, o)
	w.evalLocals(locals, ctx)
	switch {
	case len(jobs) == 0:
		w.addProblem(Pos{File: f.Name}, "no job block")
	case len(jobs) > 1:
		w.addProblem(posOf(jobs[1].TypeRange), "a file holds one job; this is the second")
	default:
		f.doc = w.decodeBlock(jobs[0].AsHCLBlock(), jobs[0].Body, jobBody, ctx, "")
	}
	return w.problems
}

// evalVariables returns an object with the values of the file's variables: the defaults, overridden by
// those in o.
func (w *hclDecoder) evalVariables(declared, groups hclsyntax.Blocks, o Options) cty.Value {
	type variable struct {
		pos   Pos
		ty    cty.Type
		value cty.Value
	}
	vars := map[string]*variable{}
	declare := func(name string, pos Pos, v *variable) {
		if vars[name] != nil {
			w.addProblem(pos, "variable %q is declared twice", name)
			return
		}
		vars[name] = v
	}
	constant := &hcl.EvalContext{Functions: w.functions}
	for _, b := range declared {
		pos := posOf(b.TypeRange)
		if len(b.Labels) != 1 {
			w.addProblem(pos, "a variable has one name")
			continue
		}
		v := &variable{pos: pos, ty: cty.DynamicPseudoType, value: cty.NilVal}
		for _, a := range sortedAttributes(b.Body.Attributes) {
			switch a.Name {
			case "type":
				ty, diags := typeexpr.TypeConstraint(a.Expr)
				w.problems = append(w.problems, problemsOf(diags)...)
				v.ty = ty
			case "default":
				v.value = w.eval((&instrumenter{nil, w.budget}).instrumentExpr(a.Expr, nil), constant)
			case "description", "sensitive", "nullable":
			default:
				w.addProblem(posOf(a.NameRange), "%s: no such attribute of a variable", a.Name)
			}
		}
		for _, k := range b.Body.Blocks {
			if k.Type != "validation" {
				w.addProblem(posOf(k.TypeRange), "%s: no such block of a variable", k.Type)
			} else {
				w.addProblem(posOf(k.TypeRange), "validation of variables is not served: check the values in the job")
			}
		}
		declare(b.Labels[0], pos, v)
	}
	for _, b := range groups {
		if b.Type != "variables" {
			continue
		}
		for _, a := range sortedAttributes(b.Body.Attributes) {
			declare(a.Name, posOf(a.NameRange), &variable{posOf(a.NameRange), cty.DynamicPseudoType, w.eval(a.Expr, constant)})
		}
	}
	setValue := func(name, source string, pos Pos, value cty.Value) {
		v := vars[name]
		if v == nil {
			w.addProblem(pos, "%s: the job file declares no variable %q", source, name)
			return
		}
		v.value = value
	}
	for _, file := range o.VarFiles {
		body, ps := parseHCLBody(file.Name, file.Source, w.budget)
		w.problems = append(w.problems, ps...)
		if body == nil {
			continue
		}
		for _, a := range sortedAttributes(body.Attributes) {
			setValue(a.Name, file.Name, posOf(a.NameRange), w.eval(a.Expr, constant))
		}
	}
	for _, name := range slices.Sorted(maps.Keys(o.Vars)) {
		pos, given := Pos{File: "variable " + name}, o.Vars[name]
		value := cty.StringVal(given)
		if v := vars[name]; v != nil && v.ty != cty.String && !v.ty.IsPrimitiveType() && v.ty != cty.DynamicPseudoType {
			if p, bad := checkTokens(pos.File, []byte(given)); bad {
				w.problems = append(w.problems, p)
				continue
			}
			expr, diags := hclsyntax.ParseExpression([]byte(given), pos.File, hcl.InitialPos)
			if diags.HasErrors() {
				w.addProblem(pos, "want a value of type %s", typeexpr.TypeString(v.ty))
				continue
			}
			value = w.eval((&instrumenter{[]byte(given), w.budget}).instrumentExpr(expr, nil), constant)
		}
		setValue(name, "given", pos, value)
	}
	values := map[string]cty.Value{}
	for _, name := range slices.Sorted(maps.Keys(vars)) {
		v := vars[name]
		values[name] = cty.DynamicVal
		if v.value == cty.NilVal {
			w.addProblem(v.pos, "variable %q has no default, and no value was given", name)
			continue
		}
		value, err := convert.Convert(v.value, v.ty)
		if err != nil {
			w.addProblem(v.pos, "variable %q: %v", name, err)
			continue
		}
		values[name] = value
	}
	return cty.ObjectVal(values)
}

// evalLocals evaluates the locals in the order of their dependencies, and adds them to ctx.
func (w *hclDecoder) evalLocals(groups hclsyntax.Blocks, ctx *hcl.EvalContext) {
	pending := map[string]*hclsyntax.Attribute{}
	for _, b := range groups {
		if b.Type != "locals" {
			continue
		}
		for _, a := range sortedAttributes(b.Body.Attributes) {
			if pending[a.Name] != nil {
				w.addProblem(posOf(a.NameRange), "local %q is given twice", a.Name)
			}
			pending[a.Name] = a
		}
	}
	values := map[string]cty.Value{}
	for len(pending) > 0 {
		ready := 0
		for _, name := range slices.Sorted(maps.Keys(pending)) {
			a, blocked := pending[name], false
			for _, n := range referencedLocals(a.Expr) {
				blocked = blocked || pending[n] != nil
			}
			if blocked {
				continue
			}
			ctx.Variables["local"] = cty.ObjectVal(values)
			values[name] = w.eval(a.Expr, ctx)
			delete(pending, name)
			ready++
		}
		if ready == 0 {
			for _, name := range slices.Sorted(maps.Keys(pending)) {
				w.addProblem(posOf(pending[name].NameRange), "local %q needs itself", name)
				values[name] = cty.DynamicVal
			}
			break
		}
	}
	ctx.Variables["local"] = cty.ObjectVal(values)
}

// referencedLocals lists the locals that an expression refers to.
func referencedLocals(e hclsyntax.Expression) []string {
	var out []string
	_ = hclsyntax.VisitAll(e, func(n hclsyntax.Node) hcl.Diagnostics {
		if c, ok := n.(*meteredExpr); ok {
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

// eval evaluates an expression. If that fails, it adds the problems and returns an unknown value.
func (w *hclDecoder) eval(e hclsyntax.Expression, ctx *hcl.EvalContext) cty.Value {
	v, diags := e.Value(ctx)
	if diags.HasErrors() {
		w.problems = append(w.problems, problemsOf(diags)...)
		return cty.DynamicVal
	}
	if !w.budget.charge(v) {
		w.budgetExceeded(posOf(e.Range()))
		return cty.DynamicVal
	}
	return v
}

// budgetExceeded adds the problem of an exceeded budget, once for a file.
func (w *hclDecoder) budgetExceeded(pos Pos) {
	if !w.budget.reported {
		w.budget.reported = true
		w.addProblem(pos, "%v", errBudgetExceeded)
	}
}

// sortedAttributes returns attributes in the order of the file.
func sortedAttributes(attrs hclsyntax.Attributes) []*hclsyntax.Attribute {
	out := slices.Collect(maps.Values(attrs))
	slices.SortFunc(out, func(a, b *hclsyntax.Attribute) int { return a.NameRange.Start.Byte - b.NameRange.Start.Byte })
	return out
}

// decodeBlock converts a block, and records the positions of it and its label.
func (w *hclDecoder) decodeBlock(head *hcl.Block, source *hclsyntax.Body, grammar *body, ctx *hcl.EvalContext, pointer string) map[string]any {
	pos := posOf(head.TypeRange)
	w.file.positions[pointer] = pos
	out := map[string]any{}
	switch {
	case grammar.labelField == "" && len(head.Labels) > 0:
		w.addProblem(pos, "%s: takes no name", head.Type)
	case grammar.labelField != "" && len(head.Labels) != 1:
		w.addProblem(pos, "%s: wants one name", head.Type)
	case grammar.labelField != "":
		out[grammar.labelField] = head.Labels[0]
		w.file.positions[pointer+"/"+grammar.labelField] = pos
		if len(head.LabelRanges) > 0 {
			w.file.positions[pointer+"/"+grammar.labelField] = posOf(head.LabelRanges[0])
		}
	}
	w.decodeBody(head.Type, source, grammar, ctx, pointer, out)
	return out
}

// decodeBody converts the attributes and blocks of a body into out.
func (w *hclDecoder) decodeBody(blockType string, source *hclsyntax.Body, grammar *body, ctx *hcl.EvalContext, pointer string, out map[string]any) {
	content := &blockContent{attributes: source.Attributes, ctx: ctx, out: out, pointer: pointer}
	if grammar.normalize != nil {
		grammar.normalize(w, content)
	}
	for _, a := range sortedAttributes(source.Attributes) {
		if content.consumed[a.Name] {
			continue
		}
		it := grammar.itemByHCLName(a.Name)
		pos := posOf(a.NameRange)
		if it == nil || it.kind == kindBlock || it.kind == kindBlockList {
			w.addProblem(pos, "%s: no such attribute of %s", a.Name, blockType)
			continue
		}
		ptr := pointer + "/" + escapePointer(it.jsonName)
		w.file.positions[ptr] = pos
		if it.kind == kindOpaque {
			out[it.jsonName] = map[string]any{}
			continue
		}
		if v, ok := w.convertValue(it, w.eval(a.Expr, ctx), pos, ptr); ok {
			out[it.jsonName] = v
		}
	}
	for _, k := range source.Blocks {
		w.decodeChild(blockType, k.AsHCLBlock(), k.Body, grammar, ctx, pointer, out)
	}
}

// decodeChild converts a block within another one into out.
func (w *hclDecoder) decodeChild(blockType string, head *hcl.Block, source *hclsyntax.Body, grammar *body, ctx *hcl.EvalContext, pointer string, out map[string]any) {
	pos := posOf(head.TypeRange)
	if !w.budget.spend(1, 0) {
		w.budgetExceeded(pos)
		return
	}
	if head.Type == "dynamic" {
		w.expandDynamic(blockType, head, source, grammar, ctx, pointer, out)
		return
	}
	it := grammar.itemByHCLName(head.Type)
	if it == nil {
		w.addProblem(pos, "%s: no such block of %s", head.Type, blockType)
		return
	}
	ptr := pointer + "/" + escapePointer(it.jsonName)
	old := out[it.jsonName]
	if _, ok := w.file.positions[ptr]; !ok {
		w.file.positions[ptr] = pos
	}
	switch it.kind {
	case kindBlockList:
		list, _ := old.([]any)
		out[it.jsonName] = append(list, w.decodeBlock(head, source, it.body, ctx, fmt.Sprintf("%s/%d", ptr, len(list))))
	case kindBlock:
		if old != nil {
			w.addProblem(pos, "%s: given twice", head.Type)
			return
		}
		out[it.jsonName] = w.decodeBlock(head, source, it.body, ctx, ptr)
	case kindAnyMap, kindStringMap:
		if old != nil || len(head.Labels) > 0 {
			w.addProblem(pos, "%s: given twice, or with a name", head.Type)
			return
		}
		w.file.positions[ptr] = pos
		m := w.decodeAnyMap(source, ctx, ptr)
		if it.kind == kindStringMap {
			for k, v := range m {
				s, ok := scalarToString(v)
				if !ok {
					w.addProblem(w.file.Position(ptr+"/"+escapePointer(k)), "%s: want a text", k)
				}
				m[k] = s
			}
		}
		out[it.jsonName] = m
	case kindOpaque:
		out[it.jsonName] = map[string]any{}
	default:
		w.addProblem(pos, "%s: is an attribute, not a block", head.Type)
	}
}

// decodeAnyMap converts a block whose content has no grammar.
func (w *hclDecoder) decodeAnyMap(source *hclsyntax.Body, ctx *hcl.EvalContext, pointer string) map[string]any {
	out := map[string]any{}
	for _, a := range sortedAttributes(source.Attributes) {
		ptr := pointer + "/" + escapePointer(a.Name)
		w.file.positions[ptr] = posOf(a.NameRange)
		if v := toJSONValue(w.eval(a.Expr, ctx)); v != nil {
			out[a.Name] = v
		}
	}
	for _, k := range source.Blocks {
		ptr := pointer + "/" + escapePointer(k.Type)
		if _, ok := w.file.positions[ptr]; !ok {
			w.file.positions[ptr] = posOf(k.TypeRange)
		}
		if k.Type == "dynamic" {
			w.addProblem(posOf(k.TypeRange), "dynamic: not served in a block without a fixed set of names")
			continue
		}
		list, _ := out[k.Type].([]any)
		m := w.decodeAnyMap(k.Body, ctx, fmt.Sprintf("%s/%d", ptr, len(list)))
		for _, l := range slices.Backward(k.Labels) {
			m = map[string]any{l: m}
		}
		out[k.Type] = append(list, m)
	}
	return out
}

// expandDynamic converts a dynamic block into one block for each element of its collection.
func (w *hclDecoder) expandDynamic(blockType string, head *hcl.Block, source *hclsyntax.Body, grammar *body, ctx *hcl.EvalContext, pointer string, out map[string]any) {
	pos := posOf(head.TypeRange)
	if len(head.Labels) != 1 {
		w.addProblem(pos, "dynamic: wants the name of one block")
		return
	}
	var content *hclsyntax.Block
	for _, k := range source.Blocks {
		if k.Type != "content" || content != nil {
			w.addProblem(posOf(k.TypeRange), "dynamic: holds one content block")
			return
		}
		content = k
	}
	each := source.Attributes["for_each"]
	if content == nil || each == nil {
		w.addProblem(pos, "dynamic: wants for_each and a content block")
		return
	}
	name := head.Labels[0]
	labels := source.Attributes["labels"]
	for _, a := range sortedAttributes(source.Attributes) {
		switch a.Name {
		case "for_each", "labels":
		case "iterator":
			t, diags := hcl.AbsTraversalForExpr(unwrapMetered(a.Expr))
			if diags.HasErrors() || len(t) != 1 {
				w.addProblem(posOf(a.NameRange), "iterator: want a name")
				return
			}
			name = t.RootName()
		default:
			w.addProblem(posOf(a.NameRange), "%s: no such attribute of dynamic", a.Name)
		}
	}
	v := w.eval(each.Expr, ctx)
	if !v.IsKnown() {
		return
	}
	if v.IsNull() || !v.CanIterateElements() {
		w.addProblem(posOf(each.NameRange), "for_each: want a list, a set or a map")
		return
	}
	for it := v.ElementIterator(); it.Next(); {
		key, value := it.Element()
		inner := ctx.NewChild()
		inner.Variables = map[string]cty.Value{name: cty.ObjectVal(map[string]cty.Value{"key": key, "value": value})}
		generated := &hcl.Block{Type: head.Labels[0], TypeRange: content.TypeRange}
		if labels != nil {
			list, err := convert.Convert(w.eval(labels.Expr, inner), cty.List(cty.String))
			if err != nil || !list.IsWhollyKnown() || list.IsNull() {
				w.addProblem(posOf(labels.NameRange), "labels: want a list of texts")
				return
			}
			for l := list.ElementIterator(); l.Next(); {
				_, s := l.Element()
				generated.Labels = append(generated.Labels, s.AsString())
				generated.LabelRanges = append(generated.LabelRanges, labels.NameRange)
			}
		}
		if generated.Type == "dynamic" {
			w.addProblem(pos, "dynamic: no such block of %s", blockType)
			return
		}
		w.decodeChild(blockType, generated, content.Body, grammar, inner, pointer, out)
	}
}

// unwrapMetered returns the expression in a metered one, and other expressions as they are.
func unwrapMetered(e hclsyntax.Expression) hclsyntax.Expression {
	if c, ok := e.(*meteredExpr); ok {
		return c.Expression
	}
	return e
}

// convertValue converts a value to an item's JSON form, and reports whether there is one.
func (w *hclDecoder) convertValue(it *item, v cty.Value, pos Pos, pointer string) (any, bool) {
	if !v.IsWhollyKnown() || v.IsNull() {
		return nil, false // the problem was added already, or the value is null
	}
	want := map[itemKind]cty.Type{
		kindString: cty.String, kindInt: cty.Number, kindBool: cty.Bool, kindStringList: cty.List(cty.String),
		kindDuration: cty.String, kindStringMap: cty.Map(cty.String),
	}
	ty, ok := want[it.kind]
	if !ok { // kindAnyMap
		m, ok := toJSONValue(v).(map[string]any)
		if !ok {
			w.addProblem(pos, "%s: want a map", it.hclName)
			return nil, false
		}
		for k := range m {
			w.file.positions[pointer+"/"+escapePointer(k)] = pos
		}
		return m, true
	}
	c, err := convert.Convert(v, ty)
	if err != nil {
		w.addProblem(pos, "%s: %v", it.hclName, err)
		return nil, false
	}
	if it.kind == kindDuration {
		ns, ok := parseDuration(c.AsString(), v.Type() == cty.Number)
		if !ok {
			w.addProblem(pos, "%s: want a duration such as \"30s\" or \"1h30m\", not %q", it.hclName, c.AsString())
			return nil, false
		}
		return ns, true
	}
	return toJSONValue(c), true
}

// parseDuration parses a duration with units, or a number of nanoseconds if bare is set. It returns
// nanoseconds, and reports whether the duration is valid.
func parseDuration(s string, bare bool) (json.Number, bool) {
	if bare {
		n, err := strconv.ParseInt(s, 10, 64)
		return json.Number(s), err == nil && n >= 0
	}
	d, err := time.ParseDuration(s)
	return json.Number(strconv.FormatInt(int64(d), 10)), err == nil && d >= 0
}

// toJSONValue converts a value to its JSON form; nil for null and unknown values.
func toJSONValue(v cty.Value) any {
	if !v.IsKnown() || v.IsNull() {
		return nil
	}
	switch ty := v.Type(); {
	case ty == cty.String:
		return v.AsString()
	case ty == cty.Bool:
		return v.True()
	case ty == cty.Number:
		return decimalNumber(v.AsBigFloat())
	case ty.IsObjectType() || ty.IsMapType():
		m := map[string]any{}
		for it := v.ElementIterator(); it.Next(); {
			k, e := it.Element()
			if p := toJSONValue(e); p != nil {
				m[k.AsString()] = p
			}
		}
		return m
	case ty.IsTupleType() || ty.IsListType() || ty.IsSetType():
		list := []any{}
		for it := v.ElementIterator(); it.Next(); {
			_, e := it.Element()
			list = append(list, toJSONValue(e))
		}
		return list
	}
	return nil
}

// decimalNumber formats a number in decimal; a large or fractional one may have an exponent.
func decimalNumber(f *big.Float) json.Number {
	if f.IsInt() && f.MantExp(nil) < 64 {
		return json.Number(f.Text('f', 0))
	}
	return json.Number(f.Text('g', 17))
}

// scalarToString converts a string, number or boolean to a string, and reports whether v is one.
func scalarToString(v any) (string, bool) {
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

// blockContent is the input and output of a normalize function, which converts the HCL shorthands of a
// block.
type blockContent struct {
	attributes hclsyntax.Attributes
	ctx        *hcl.EvalContext
	out        map[string]any
	pointer    string
	consumed   map[string]bool // attributes that were converted
}

// normalizeConstraint converts the shorthands of a constraint, such as distinct_hosts = true.
func normalizeConstraint(w *hclDecoder, f *blockContent) {
	f.consumed = map[string]bool{}
	for _, a := range sortedAttributes(f.attributes) {
		switch a.Name {
		case "distinct_hosts", "distinct_property", "is_set", "is_not_set", "regexp", "set_contains", "set_contains_all", "set_contains_any", "semver", "version":
		default:
			continue
		}
		f.consumed[a.Name] = true
		pos := posOf(a.NameRange)
		w.file.positions[f.pointer+"/Operand"] = pos
		v, err := convert.Convert(w.eval(a.Expr, f.ctx), cty.String)
		if err != nil || !v.IsKnown() || v.IsNull() {
			w.addProblem(pos, "%s: want a text", a.Name)
			continue
		}
		if f.out["Operand"] != nil {
			w.addProblem(pos, "%s: a constraint has one operator", a.Name)
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
