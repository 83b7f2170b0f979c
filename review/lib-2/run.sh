#!/usr/bin/env bash
# Runs the script of case $1. A script that fails by itself has not run.
cd "$(dirname "$0")/../.."
code=0
node "review/built/case-$1/script.cjs" || code=$?
case $code in
  0) exit 0 ;;
  10) exit 1 ;;
  *) exit 2 ;;
esac
