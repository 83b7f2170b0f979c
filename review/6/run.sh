#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case did not run.
cd "$(dirname "$0")/../.." || exit 2
[ -f review/built/case_6.js ] && [ -f target/toucanwindd.js ] || exit 2
timeout -k 5 110 node review/built/case_6.js
case $? in 0) exit 0 ;; 10) exit 1 ;; *) exit 2 ;; esac
