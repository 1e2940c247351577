package main_test

import "go/ast"

// usesClock reports whether a file uses a function of package time that reads
// the clock, sleeps or creates a timer.
func usesClock(f *ast.File) bool {
	found := false
	ast.Inspect(f, func(n ast.Node) bool {
		s, ok := n.(*ast.SelectorExpr)
		if !ok {
			return true
		}
		pkg, ok := s.X.(*ast.Ident)
		if !ok || pkg.Name != "time" {
			return true
		}
		switch s.Sel.Name {
		case "Now", "Since", "Until", "After", "AfterFunc", "NewTimer", "NewTicker", "Tick", "Sleep":
			found = true
		}
		return true
	})
	return found
}
