/**
 * Training steps: groups of samples that are generated for trainers.
 *
 * @module
 */

export { Bitmap, type Cursor, CursorCodec, type Handover } from "./cursor.ts";
export { oldestVersion, type Sample, type VersionSpan } from "./sample.ts";
export { GroupSequence, LongestFirst, SubmissionOrder } from "./sequence.ts";
export {
  parseSubmission,
  type PromptGroup,
  stepName,
  type StepSpec,
} from "./spec.ts";
export { type CompletedSample, Step, type StepProgress } from "./step.ts";
export { Steps, stepsKey } from "./steps.ts";
export { Trainer, type TrainerSample } from "./trainer.ts";
