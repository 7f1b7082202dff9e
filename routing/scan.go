package routing

import "strings"

// tokenKind is the kind of a lexical element of SQL.
type tokenKind uint8

const (
	tokenWord      tokenKind = iota // keyword or identifier in lower case; quoted identifiers without quotes
	tokenOpenParen                  // opening parenthesis
	tokenSemicolon                  // semicolon
	tokenOther                      // literal, parameter, operator or closing parenthesis
	tokenAmbiguous                  // text that depends on server settings or is unterminated
)

type token struct {
	kind   tokenKind
	text   string
	quoted bool
}

// scanner splits SQL into tokens. It implements only the lexical rules of PostgreSQL that are required to skip comments,
// strings and quoted identifiers. Text that has no unique interpretation becomes tokenAmbiguous.
type scanner struct {
	sql string
	pos int
}

// tokenize returns the tokens of sql without whitespace and comments.
func tokenize(sql string) []token {
	s := &scanner{sql: sql}
	var tokens []token
	for {
		unterminated := s.skipWhitespace()
		if unterminated {
			return append(tokens, token{kind: tokenAmbiguous})
		}
		if s.pos >= len(s.sql) {
			return tokens
		}
		tokens = append(tokens, s.nextToken())
	}
}

// skipWhitespace skips whitespace and comments. It reports whether a comment is unterminated.
func (s *scanner) skipWhitespace() (unterminated bool) {
	for s.pos < len(s.sql) {
		rest := s.sql[s.pos:]
		switch {
		case strings.ContainsRune(" \t\r\n\f\v", rune(rest[0])):
			s.pos++
		case strings.HasPrefix(rest, "--"):
			s.skipLineComment(rest)
		case strings.HasPrefix(rest, "/*"):
			if !s.skipBlockComment() {
				return true
			}
		default:
			return false
		}
	}
	return false
}

func (s *scanner) skipLineComment(rest string) {
	end := strings.IndexAny(rest, "\r\n")
	if end < 0 {
		end = len(rest)
	}
	s.pos += end
}

// skipBlockComment skips a block comment, including nested ones. It reports whether the comment is terminated.
func (s *scanner) skipBlockComment() bool {
	depth := 0
	for s.pos < len(s.sql) {
		rest := s.sql[s.pos:]
		switch {
		case strings.HasPrefix(rest, "/*"):
			depth++
			s.pos += 2
		case strings.HasPrefix(rest, "*/"):
			depth--
			s.pos += 2
		default:
			s.pos++
		}
		if depth == 0 {
			return true
		}
	}
	return false
}

func (s *scanner) nextToken() token {
	c := s.sql[s.pos]
	switch {
	case c == '\'':
		return s.quotedStringToken(false)
	case c == '"':
		return s.quotedIdentifierToken()
	case c == '$':
		return s.dollarToken()
	case isLetter(c):
		return s.wordToken()
	case isDigit(c):
		return s.numberToken()
	case c == 0 || c == '\\':
		s.pos = len(s.sql)
		return token{kind: tokenAmbiguous}
	}
	s.pos++
	switch c {
	case '(':
		return token{kind: tokenOpenParen}
	case ';':
		return token{kind: tokenSemicolon}
	}
	return token{kind: tokenOther}
}

// numberToken scans a numeric constant. Servers before PostgreSQL 15 read 1for as 1 followed by FOR, and later versions
// reject it. Numbers followed by other letters are therefore ambiguous.
func (s *scanner) numberToken() token {
	start := s.pos
	s.skipWhile(func(c byte) bool { return isDigit(c) || isLetter(c) || c == '.' })
	text := strings.ToLower(s.sql[start:s.pos])
	if strings.HasPrefix(text, "0x") && strings.Trim(text[2:], "0123456789abcdef_") == "" {
		return token{kind: tokenOther}
	}
	if mantissa, exponent, _ := strings.Cut(text, "e"); strings.Trim(mantissa+exponent, "0123456789_.") == "" {
		return token{kind: tokenOther}
	}
	return token{kind: tokenAmbiguous}
}

// wordToken scans a keyword or an identifier, or a string constant with a prefix such as E.
func (s *scanner) wordToken() token {
	start := s.pos
	s.skipWhile(func(c byte) bool { return isLetter(c) || isDigit(c) || c == '$' })
	text := strings.ToLower(s.sql[start:s.pos])
	rest := s.sql[s.pos:]
	switch {
	case text == "e" && strings.HasPrefix(rest, "'"):
		return s.quotedStringToken(true)
	case (text == "b" || text == "x" || text == "n") && strings.HasPrefix(rest, "'"):
		return s.quotedStringToken(false)
	case text == "u" && (strings.HasPrefix(rest, "&'") || strings.HasPrefix(rest, `&"`)):
		// Unicode escapes can encode any name, and a UESCAPE clause after the literal can change the escape character.
		s.pos = len(s.sql)
		return token{kind: tokenAmbiguous}
	}
	return token{kind: tokenWord, text: text}
}

// quotedStringToken scans a string constant. Without escapes, a string with a backslash is ambiguous, because its meaning
// depends on the setting standard_conforming_strings.
func (s *scanner) quotedStringToken(hasEscapes bool) token {
	kind := tokenOther
	for s.pos++; s.pos < len(s.sql); s.pos++ {
		switch s.sql[s.pos] {
		case '\\':
			if !hasEscapes {
				kind = tokenAmbiguous
				continue
			}
			s.pos++
		case '\'':
			if !strings.HasPrefix(s.sql[s.pos+1:], "'") {
				s.pos++
				return token{kind: kind}
			}
			s.pos++
		}
	}
	return token{kind: tokenAmbiguous}
}

func (s *scanner) quotedIdentifierToken() token {
	start := s.pos + 1
	end := strings.IndexByte(s.sql[start:], '"')
	if end < 0 {
		s.pos = len(s.sql)
		return token{kind: tokenAmbiguous}
	}
	s.pos = start + end + 1
	return token{kind: tokenWord, text: strings.ToLower(s.sql[start : start+end]), quoted: true}
}

// dollarToken scans a parameter such as $1 or a dollar-quoted string constant.
func (s *scanner) dollarToken() token {
	start := s.pos
	s.pos++
	if s.skipWhile(isDigit); s.pos > start+1 {
		return token{kind: tokenOther}
	}
	s.skipWhile(func(c byte) bool { return isLetter(c) || isDigit(c) })
	if !strings.HasPrefix(s.sql[s.pos:], "$") {
		return token{kind: tokenOther}
	}
	s.pos++
	tag := s.sql[start:s.pos]
	end := strings.Index(s.sql[s.pos:], tag)
	if end < 0 {
		s.pos = len(s.sql)
		return token{kind: tokenAmbiguous}
	}
	s.pos += end + len(tag)
	return token{kind: tokenOther}
}

func (s *scanner) skipWhile(matches func(byte) bool) {
	for s.pos < len(s.sql) && matches(s.sql[s.pos]) {
		s.pos++
	}
}

func isLetter(c byte) bool {
	return c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c == '_' || c >= 0x80
}

func isDigit(c byte) bool {
	return c >= '0' && c <= '9'
}
