package jobfile

import (
	"maps"
	"slices"

	"github.com/hashicorp/hcl/v2"
	"github.com/hashicorp/hcl/v2/ext/typeexpr"
	"github.com/hashicorp/hcl/v2/hclsyntax"
	"github.com/zclconf/go-cty/cty"
	"github.com/zclconf/go-cty/cty/convert"
)

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
