package jobfile

import (
	"crypto/md5"
	"crypto/sha1"
	"crypto/sha256"
	"crypto/sha512"
	"encoding/base64"
	"encoding/hex"
	"fmt"
	"net/url"
	"regexp"
	"strings"

	"github.com/hashicorp/hcl/v2/ext/tryfunc"
	"github.com/hashicorp/hcl/v2/ext/typeexpr"
	"github.com/zclconf/go-cty/cty"
	"github.com/zclconf/go-cty/cty/function"
	"github.com/zclconf/go-cty/cty/function/stdlib"
)

// standard are the functions of the published list whose result depends on
// their arguments alone. Those that read files, the clock or random numbers
// are not here: the same file has to become the same job wherever it is read.
var supportedFunctions = map[string]function.Function{
	"abs": stdlib.AbsoluteFunc, "ceil": stdlib.CeilFunc, "floor": stdlib.FloorFunc, "log": stdlib.LogFunc,
	"max": stdlib.MaxFunc, "min": stdlib.MinFunc, "parseint": stdlib.ParseIntFunc, "pow": stdlib.PowFunc, "signum": stdlib.SignumFunc,

	"chomp": stdlib.ChompFunc, "format": stdlib.FormatFunc, "formatlist": stdlib.FormatListFunc, "indent": stdlib.IndentFunc,
	"join": stdlib.JoinFunc, "lower": stdlib.LowerFunc, "regex": stdlib.RegexFunc, "regexall": stdlib.RegexAllFunc,
	"replace": stdlib.ReplaceFunc, "regex_replace": stdlib.RegexReplaceFunc, "split": stdlib.SplitFunc,
	"strlen": stdlib.StrlenFunc, "strrev": stdlib.ReverseFunc, "substr": stdlib.SubstrFunc, "title": stdlib.TitleFunc,
	"trim": stdlib.TrimFunc, "trimprefix": stdlib.TrimPrefixFunc, "trimspace": stdlib.TrimSpaceFunc,
	"trimsuffix": stdlib.TrimSuffixFunc, "upper": stdlib.UpperFunc,

	"chunklist": stdlib.ChunklistFunc, "coalesce": stdlib.CoalesceFunc, "coalescelist": stdlib.CoalesceListFunc,
	"compact": stdlib.CompactFunc, "concat": stdlib.ConcatFunc, "contains": stdlib.ContainsFunc, "distinct": stdlib.DistinctFunc,
	"element": stdlib.ElementFunc, "flatten": stdlib.FlattenFunc, "index": stdlib.IndexFunc, "keys": stdlib.KeysFunc,
	"length": stdlib.LengthFunc, "lookup": stdlib.LookupFunc, "merge": stdlib.MergeFunc, "range": stdlib.RangeFunc,
	"reverse": stdlib.ReverseListFunc, "setintersection": stdlib.SetIntersectionFunc, "setproduct": stdlib.SetProductFunc,
	"setsubtract": stdlib.SetSubtractFunc, "setunion": stdlib.SetUnionFunc, "slice": stdlib.SliceFunc, "sort": stdlib.SortFunc,
	"values": stdlib.ValuesFunc, "zipmap": stdlib.ZipmapFunc,

	"csvdecode": stdlib.CSVDecodeFunc, "jsondecode": stdlib.JSONDecodeFunc, "jsonencode": stdlib.JSONEncodeFunc,
	"formatdate": stdlib.FormatDateFunc, "timeadd": stdlib.TimeAddFunc, "convert": typeexpr.ConvertFunc,
	"can": tryfunc.CanFunc, "try": tryfunc.TryFunc,

	"base64encode": stringFunc(func(s string) (string, error) { return base64.StdEncoding.EncodeToString([]byte(s)), nil }),
	"base64decode": stringFunc(func(s string) (string, error) {
		b, err := base64.StdEncoding.DecodeString(s)
		return string(b), err
	}),
	"urlencode": stringFunc(func(s string) (string, error) { return url.QueryEscape(s), nil }),
	"md5":       stringFunc(func(s string) (string, error) { h := md5.Sum([]byte(s)); return hex.EncodeToString(h[:]), nil }),
	"sha1":      stringFunc(func(s string) (string, error) { h := sha1.Sum([]byte(s)); return hex.EncodeToString(h[:]), nil }),
	"sha256":    stringFunc(func(s string) (string, error) { h := sha256.Sum256([]byte(s)); return hex.EncodeToString(h[:]), nil }),
	"sha512":    stringFunc(func(s string) (string, error) { h := sha512.Sum512([]byte(s)); return hex.EncodeToString(h[:]), nil }),
}

// withheld are published functions that are not served, and why.
var unsupportedFunctions = map[string]string{
	"file": "reads files", "fileexists": "reads files", "fileset": "reads files", "filebase64": "reads files", "filemd5": "reads files",
	"abspath": "looks at the machine", "basename": "looks at the machine", "dirname": "looks at the machine", "pathexpand": "looks at the machine",
	"timestamp": "gives another result each time", "uuidv4": "gives another result each time", "bcrypt": "gives another result each time",
	"uuidv5": "is not served", "rsadecrypt": "is not served", "yamldecode": "is not served", "yamlencode": "is not served",
	"cidrhost": "is not served", "cidrnetmask": "is not served", "cidrsubnet": "is not served", "cidrsubnets": "is not served",
	"env": "looks at the machine", "consul_key": "asks a server", "vault": "asks a server",
}

func stringFunc(f func(string) (string, error)) function.Function {
	return function.New(&function.Spec{
		Params: []function.Parameter{{Name: "str", Type: cty.String}},
		Type:   function.StaticReturnType(cty.String),
		Impl: func(args []cty.Value, _ cty.Type) (cty.Value, error) {
			s, err := f(args[0].AsString())
			return cty.StringVal(s), err
		},
	})
}

// functions are the standard ones on a budget.
func meteredFunctions(b *budget) map[string]function.Function {
	out := make(map[string]function.Function, len(supportedFunctions))
	for name, f := range supportedFunctions {
		if name == "can" || name == "try" || name == "convert" {
			out[name] = f // takes expressions, which pay by themselves
			continue
		}
		out[name] = function.New(&function.Spec{
			Params: f.Params(), VarParam: f.VarParam(),
			Type: func(args []cty.Value) (cty.Type, error) {
				if err := b.chargeCall(name, args); err != nil {
					return cty.DynamicPseudoType, err
				}
				return f.ReturnTypeForValues(args)
			},
			Impl: func(args []cty.Value, _ cty.Type) (cty.Value, error) {
				v, err := f.Call(args)
				if err == nil && !b.charge(v) {
					return cty.DynamicVal, errBudgetExceeded
				}
				return v, err
			},
		})
	}
	for name, why := range unsupportedFunctions {
		out[name] = function.New(&function.Spec{
			VarParam: &function.Parameter{Name: "args", Type: cty.DynamicPseudoType, AllowNull: true, AllowDynamicType: true},
			Type: func([]cty.Value) (cty.Type, error) {
				return cty.DynamicPseudoType, fmt.Errorf("%s %s: it is not served, since a file has to become the same job wherever it is read", name, why)
			},
		})
	}
	return out
}

var wideVerb = regexp.MustCompile(`%[^a-zA-Z%]*[0-9]{4}`)

// call pays for a call before it is made, where its result may be far larger
// than its arguments.
func (b *budget) chargeCall(name string, args []cty.Value) error {
	texts, numbers := []string{}, []float64{}
	for _, a := range args {
		if !b.charge(a) {
			return errBudgetExceeded
		}
		if !a.IsKnown() || a.IsNull() {
			continue
		}
		switch a.Type() {
		case cty.String:
			texts = append(texts, a.AsString())
		case cty.Number:
			f, _ := a.AsBigFloat().Float64()
			numbers = append(numbers, f)
		}
	}
	made := 0.0
	switch {
	case (name == "format" || name == "formatlist") && len(texts) > 0 && wideVerb.MatchString(texts[0]):
		return fmt.Errorf("a width above 999 is not served")
	case name == "indent" && len(numbers) > 0 && len(texts) > 0:
		made = numbers[0] * float64(strings.Count(texts[len(texts)-1], "\n")+1)
	case (name == "replace" || name == "regex_replace") && len(texts) == 3:
		made = float64(len(texts[0])+1) * float64(len(texts[2]))
	case name == "join" && len(texts) > 0:
		n := 0
		for _, a := range args[1:] {
			if a.IsKnown() && !a.IsNull() && a.CanIterateElements() {
				n += a.LengthInt()
			}
		}
		made = float64(n) * float64(len(texts[0]))
	case name == "setproduct" || name == "formatlist":
		made = 1
		for _, a := range args {
			if a.IsKnown() && !a.IsNull() && a.CanIterateElements() {
				made *= float64(a.LengthInt())
			}
		}
		made *= 16
	case name == "regex" || name == "regexall":
		// Work for each letter of the text goes with the pattern's length.
		if len(texts) == 2 {
			made = float64(len(texts[0])) * float64(len(texts[1])) / 64
		}
	}
	if made < 0 || made > float64(b.bytes) {
		return errBudgetExceeded
	}
	return nil
}
