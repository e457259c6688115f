#!/usr/bin/env bash
# Back ends send some rejections twice, the second one late. TROUBLE=0: none.
exec bash "$(dirname "$0")/../run-scenario.sh" surplus "$(dirname "$0")"
