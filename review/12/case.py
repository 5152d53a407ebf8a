"""A part of prompts crashes runners that send the head of an answer at once and its first event after the prompt is read."""

import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standin-3"))
from parts import *  # noqa: E402,F403

# CONTROL=1: the head comes with the first event, as late as that comes otherwise.
if os.environ.get("CONTROL") == "1":
    PartRunner.head_s, PartRunner.first_event_s = 1.3, 0.0
else:
    PartRunner.head_s, PartRunner.first_event_s = 0.0, 1.3
PartRunner.events_before_crash = 1

run_case(lambda record: play(record, run_s=30.0), FOLDER)
