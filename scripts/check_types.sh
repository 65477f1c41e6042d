#!/usr/bin/env bash
# Checks that no two files define types of the same qualified name. The linker
# merges the inline functions of such types silently, so that objects of one are
# constructed and destroyed as the other.
set -eu
cd "$(dirname "$0")/.."
# Types of main.cpp files and tests are compared within their program only.
scripts/list_sources.sh | grep -vE '^(tests|bench|experiments)/[^/]*\.cpp$' | xargs awk '
    FNR == 1 { scope = ""; hidden = 0
               program = FILENAME ~ /^(programs|standins|bench|experiments)\/[a-z]/ &&
                         FILENAME !~ /\/support\// ? FILENAME : ""
               sub(/\/[^\/]*$/, "", program) }
    /^namespace$/ { hidden = 1 }
    /^namespace [a-z_:0-9]+$/ { scope = $2 }
    /^\} *\/\/ namespace$/ { hidden = 0 }
    /^(struct|class|enum|enum class) [a-z_0-9]+( final)?( : [^;]*)?( \{.*)?$/ && !hidden {
        name = $2 == "class" ? $3 : $2
        key = program ":" scope "::" name
        if (key in seen && seen[key] != FILENAME) {
            printf "%s:%d: %s::%s is defined in %s too\n", FILENAME, FNR, scope, name, seen[key]
            bad = 1
        }
        seen[key] = FILENAME
    }
    END { exit bad }'
