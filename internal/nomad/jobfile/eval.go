package jobfile

import (
	"errors"
	"fmt"
	"strconv"
	"strings"

	"github.com/hashicorp/hcl/v2"
	"github.com/hashicorp/hcl/v2/hclsyntax"
	"github.com/zclconf/go-cty/cty"
)

// How much evaluating one file may cost: a small file can ask for any amount
// of work and memory.
const (
	maxEvalSteps = 200_000 // expressions evaluated, blocks and elements made
	maxEvalBytes = 8 << 20 // of texts made on the way
	maxExponent  = 4096    // binary exponent of a number: 1e9999999 is a short text and a long number
)

// large reports whether a number is too long to be written out.
func exceedsExponent(v cty.Value) bool {
	if v.Type() != cty.Number || !v.IsKnown() || v.IsNull() {
		return false
	}
	e := v.AsBigFloat().MantExp(nil)
	return e > maxExponent || e < -maxExponent
}

var errBudgetExceeded = errors.New("the file asks for too much work to evaluate it")

// budget is what is left of it.
type budget struct {
	steps, bytes int
	reported     bool // the file's reader has been told
}

func (b *budget) spend(steps, bytes int) bool {
	b.steps -= steps
	b.bytes -= bytes
	return b.steps >= 0 && b.bytes >= 0
}

// charge spends what a value takes; false if that is more than is left.
func (b *budget) charge(v cty.Value) bool {
	if !b.spend(1, 0) {
		return false
	}
	if v.IsNull() || !v.IsKnown() {
		return true
	}
	switch ty := v.Type(); {
	case ty == cty.String:
		return b.spend(0, len(v.AsString()))
	case ty == cty.Number:
		return !exceedsExponent(v)
	case ty.IsObjectType() || ty.IsTupleType() || ty.IsCollectionType():
		for it := v.ElementIterator(); it.Next(); {
			if _, e := it.Element(); !b.charge(e) {
				return false
			}
		}
	}
	return true
}

// counted is an expression whose evaluation is paid from the budget. A name
// that only the running task knows, such as ${node.class}, stays as it was
// written.
type meteredExpr struct {
	hclsyntax.Expression
	budget   *budget
	verbatim string
}

func (c *meteredExpr) Value(ctx *hcl.EvalContext) (cty.Value, hcl.Diagnostics) {
	if !c.budget.spend(1, 0) {
		return cty.DynamicVal, c.budgetExceeded()
	}
	if c.verbatim != "" {
		return cty.StringVal(c.verbatim), nil
	}
	v, diags := c.Expression.Value(ctx)
	if !diags.HasErrors() && exceedsExponent(v) {
		return cty.DynamicVal, append(diags, c.budgetExceeded()...)
	}
	if !diags.HasErrors() && v.Type() == cty.String && v.IsKnown() && !v.IsNull() && !c.budget.spend(0, len(v.AsString())) {
		return cty.DynamicVal, append(diags, c.budgetExceeded()...)
	}
	return v, diags
}

// over is one line for the whole file, not one for each expression after it.
func (c *meteredExpr) budgetExceeded() hcl.Diagnostics {
	d := &hcl.Diagnostic{Severity: hcl.DiagError, Summary: errBudgetExceeded.Error(), Subject: c.Range().Ptr()}
	if c.budget.reported {
		d.Summary = ""
	}
	c.budget.reported = true
	return hcl.Diagnostics{d}
}

// runtimeNames are the roots of names that only the running task knows.
var runtimeRoots = map[string]bool{"attr": true, "node": true, "device": true, "meta": true, "env": true, "unique": true}

func isRuntimeRoot(root string) bool { return runtimeRoots[root] || strings.HasPrefix(root, "NOMAD_") }

// instrument puts a file's expressions on the budget.
type instrumenter struct {
	src    []byte
	budget *budget
}

func (in *instrumenter) instrumentBody(b *hclsyntax.Body) {
	for _, a := range b.Attributes {
		a.Expr = in.instrumentExpr(a.Expr, nil)
	}
	for _, k := range b.Blocks {
		if k.Type != "variable" { // its type is no expression
			in.instrumentBody(k.Body)
		}
	}
}

// expr replaces an expression and all below it; bound are the names that
// enclosing expressions give a meaning.
func (in *instrumenter) instrumentExpr(e hclsyntax.Expression, bound []string) hclsyntax.Expression {
	sub := func(e hclsyntax.Expression) hclsyntax.Expression { return in.instrumentExpr(e, bound) }
	all := func(es []hclsyntax.Expression) {
		for i := range es {
			es[i] = sub(es[i])
		}
	}
	c := &meteredExpr{Expression: e, budget: in.budget}
	switch e := e.(type) {
	case nil, *hclsyntax.LiteralValueExpr, *hclsyntax.AnonSymbolExpr:
		return e
	case *hclsyntax.ScopeTraversalExpr:
		root := e.Traversal.RootName()
		for _, n := range bound {
			if n == root {
				return c
			}
		}
		if isRuntimeRoot(root) {
			c.verbatim = "${" + string(e.SrcRange.SliceBytes(in.src)) + "}"
		}
	case *hclsyntax.TemplateExpr:
		all(e.Parts)
	case *hclsyntax.TemplateWrapExpr:
		e.Wrapped = sub(e.Wrapped)
	case *hclsyntax.TemplateJoinExpr:
		e.Tuple = sub(e.Tuple)
	case *hclsyntax.ParenthesesExpr:
		e.Expression = sub(e.Expression)
	case *hclsyntax.FunctionCallExpr:
		all(e.Args)
	case *hclsyntax.TupleConsExpr:
		all(e.Exprs)
	case *hclsyntax.ObjectConsExpr:
		for i := range e.Items {
			if k, ok := e.Items[i].KeyExpr.(*hclsyntax.ObjectConsKeyExpr); !ok || k.ForceNonLiteral {
				e.Items[i].KeyExpr = sub(e.Items[i].KeyExpr)
			}
			e.Items[i].ValueExpr = sub(e.Items[i].ValueExpr)
		}
	case *hclsyntax.ForExpr:
		e.CollExpr = sub(e.CollExpr)
		inner := append(bound[:len(bound):len(bound)], e.KeyVar, e.ValVar)
		for _, p := range []*hclsyntax.Expression{&e.KeyExpr, &e.ValExpr, &e.CondExpr} {
			if *p != nil {
				*p = in.instrumentExpr(*p, inner)
			}
		}
	case *hclsyntax.ConditionalExpr:
		e.Condition, e.TrueResult, e.FalseResult = sub(e.Condition), sub(e.TrueResult), sub(e.FalseResult)
	case *hclsyntax.BinaryOpExpr:
		e.LHS, e.RHS = sub(e.LHS), sub(e.RHS)
	case *hclsyntax.UnaryOpExpr:
		e.Val = sub(e.Val)
	case *hclsyntax.IndexExpr:
		e.Collection, e.Key = sub(e.Collection), sub(e.Key)
	case *hclsyntax.SplatExpr:
		e.Source, e.Each = sub(e.Source), sub(e.Each)
	case *hclsyntax.RelativeTraversalExpr:
		e.Source = sub(e.Source)
	}
	return c
}

// unreadable finds where brackets, templates or operators nest deeper than is
// read, since the parser calls itself for each, and numbers without end.
func checkTokens(name string, src []byte) (Problem, bool) {
	tokens, _ := hclsyntax.LexConfig(src, name, hcl.InitialPos)
	depth, chain := 0, 0
	for _, t := range tokens {
		switch t.Type {
		case hclsyntax.TokenOBrace, hclsyntax.TokenOBrack, hclsyntax.TokenOParen, hclsyntax.TokenTemplateInterp, hclsyntax.TokenTemplateControl, hclsyntax.TokenOQuote, hclsyntax.TokenOHeredoc:
			depth++
		case hclsyntax.TokenCBrace, hclsyntax.TokenCBrack, hclsyntax.TokenCParen, hclsyntax.TokenTemplateSeqEnd, hclsyntax.TokenCQuote, hclsyntax.TokenCHeredoc:
			depth--
		case hclsyntax.TokenBang, hclsyntax.TokenMinus, hclsyntax.TokenQuestion, hclsyntax.TokenPlus, hclsyntax.TokenStar,
			hclsyntax.TokenSlash, hclsyntax.TokenPercent, hclsyntax.TokenAnd, hclsyntax.TokenOr, hclsyntax.TokenDot:
			chain++
		case hclsyntax.TokenNewline, hclsyntax.TokenComma:
			chain = 0
		case hclsyntax.TokenNumberLit:
			if !numberInRange(string(t.Bytes)) {
				return problemf(posOf(t.Range), "%.40s: number out of range", t.Bytes), true
			}
		}
		if depth > maxDepth || chain > 8*maxDepth {
			return problemf(posOf(t.Range), "nested deeper than %d levels", maxDepth), true
		}
	}
	return Problem{}, false
}

// writable reports whether a number in decimal is one that is soon written out.
func numberInRange(s string) bool {
	_, err := strconv.ParseFloat(s, 64)
	return err == nil && len(s) <= 400
}

func posOf(r hcl.Range) Pos { return Pos{r.Filename, r.Start.Line, r.Start.Column} }

// problems turns the parser's findings into ours.
func problemsOf(diags hcl.Diagnostics) Problems {
	var out Problems
	for _, d := range diags {
		if d.Severity != hcl.DiagError || d.Summary == "" {
			continue
		}
		p := Problem{Text: strings.TrimSuffix(d.Summary, ".")}
		if d.Detail != "" {
			p.Text += ": " + strings.Join(strings.Fields(d.Detail), " ")
		}
		if d.Subject != nil {
			p.Pos = posOf(*d.Subject)
		}
		out = append(out, p)
	}
	return out
}

func problemf(pos Pos, format string, args ...any) Problem {
	return Problem{pos, fmt.Sprintf(format, args...)}
}
