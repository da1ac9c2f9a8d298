package jobfile

import (
	"fmt"
	"maps"
	"slices"

	"github.com/hashicorp/hcl/v2"
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
