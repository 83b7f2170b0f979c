/**
 * Steps of samples for trainers.
 *
 * @module
 */

export { Bitmap, type Cursor, CursorCodec, type Handover } from "./cursor.ts";
export {
  oldestVersion,
  type Sample,
  type VersionSpan as VersionSpan,
} from "./sample.ts";
export {
  GroupSequence as GroupSequence,
  LongestFirst,
  SubmissionOrder as SubmissionOrder,
} from "./sequence.ts";
export {
  parseSubmission,
  type PromptGroup as PromptGroup,
  stepName,
  type StepSpec as StepSpec,
} from "./spec.ts";
export {
  type CompletedSample as CompletedSample,
  Step,
  type StepProgress as StepProgress,
} from "./step.ts";
export { Steps, stepsKey } from "./steps.ts";
export { Trainer, type TrainerSample } from "./trainer.ts";
