"""Settings files in the manner of classic daemons: `word value ...`, blocks in braces, comments, units.

Enters: a file's text and the typed struct of what may stand in it. Leaves: that struct, filled in, or every
mistake at once, each as `file:line:column: what is wrong, what is allowed`. It knows no subsystem: each
declares its own block beside its code, out of the words in `types`. The parser (`reader`, on lark) is loaded
only when a file is read.
"""
