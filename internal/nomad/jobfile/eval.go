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

// Limits on the cost of evaluating one file. Without them, a small file can take any amount of work
// and memory.
const (
	maxEvalSteps = 200_000 // expressions evaluated, blocks and elements created
	maxEvalBytes = 8 << 20 // bytes of strings created during evaluation
	maxExponent  = 4096    // binary exponent of a number: 1e9999999 is short in the file, but has millions of digits
)

// exceedsExponent reports whether a number has too many digits to be written in decimal.
func exceedsExponent(v cty.Value) bool {
	if v.Type() != cty.Number || !v.IsKnown() || v.IsNull() {
		return false
	}
	e := v.AsBigFloat().MantExp(nil)
	return e > maxExponent || e < -maxExponent
}

var errBudgetExceeded = errors.New("the file asks for too much work to evaluate it")

// budget is what remains of the limits on the evaluation of a file.
type budget struct {
	steps, bytes int
	reported     bool // a problem for the exceeded budget was added
}

// spend takes steps and bytes from the budget, and reports whether the budget covered them.
func (b *budget) spend(steps, bytes int) bool {
	b.steps -= steps
	b.bytes -= bytes
	return b.steps >= 0 && b.bytes >= 0
}

// charge takes the cost of a value from the budget, and reports whether the budget covered it.
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

// meteredExpr is an expression whose evaluation is charged to the budget. A reference that is resolved
// only at run time, such as ${node.class}, evaluates to its own source text.
type meteredExpr struct {
	hclsyntax.Expression
	budget   *budget
	verbatim string
}

// Value evaluates the expression, or returns an error if the budget is exceeded.
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

// budgetExceeded returns the error for an exceeded budget. Only the first one in a file has a text, so
// that the file gets one problem instead of one for each further expression.
func (c *meteredExpr) budgetExceeded() hcl.Diagnostics {
	d := &hcl.Diagnostic{Severity: hcl.DiagError, Summary: errBudgetExceeded.Error(), Subject: c.Range().Ptr()}
	if c.budget.reported {
		d.Summary = ""
	}
	c.budget.reported = true
	return hcl.Diagnostics{d}
}

// runtimeRoots holds the roots of references that are resolved only at run time.
var runtimeRoots = map[string]bool{"attr": true, "node": true, "device": true, "meta": true, "env": true, "unique": true}

func isRuntimeRoot(root string) bool { return runtimeRoots[root] || strings.HasPrefix(root, "NOMAD_") }

// instrumenter replaces the expressions of a file by metered ones.
type instrumenter struct {
	src    []byte
	budget *budget
}

func (in *instrumenter) instrumentBody(b *hclsyntax.Body) {
	for _, a := range b.Attributes {
		a.Expr = in.instrumentExpr(a.Expr, nil)
	}
	for _, k := range b.Blocks {
		if k.Type != "variable" { // the type of a variable is not an expression
			in.instrumentBody(k.Body)
		}
	}
}

// instrumentExpr returns a metered expression with all expressions below it replaced. bound holds the
// names that enclosing for expressions define.
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

// checkTokens returns the first place where brackets, templates or operators nest too deeply, or a
// number is out of range, and whether there is one. Nesting is limited because the parser is
// recursive.
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

// numberInRange reports whether a decimal number is a float64 of at most 400 characters.
func numberInRange(s string) bool {
	_, err := strconv.ParseFloat(s, 64)
	return err == nil && len(s) <= 400
}

// posOf returns the start of a range.
func posOf(r hcl.Range) Pos { return Pos{r.Filename, r.Start.Line, r.Start.Column} }

// problemsOf converts the errors of the HCL parser. An error without a text is dropped.
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
